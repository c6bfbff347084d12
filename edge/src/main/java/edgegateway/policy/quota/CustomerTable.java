package edgegateway.policy.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The quotas of the customers that were seen lately, at most {@link #MAX_CUSTOMERS}. A segmented
 * LRU cache: a customer begins in the probationary segment and moves to the protected one with its
 * second request, so that requests under ever new names displace one another and not the customers
 * that come regularly. A customer with an open request stays.
 *
 * <p>Not thread-safe: like the policy, it is called from one thread.
 */
final class CustomerTable {
  static final int MAX_CUSTOMERS = 8_192;
  static final int MAX_PROTECTED = 6_144;

  /** Customers with open requests that are looked at before one more than allowed is kept. */
  private static final int MAX_SKIPPED = 16;

  private final Map<Long, CustomerQuota> probationary = new LinkedHashMap<>();
  private final Map<Long, CustomerQuota> protectedCustomers = new LinkedHashMap<>();

  /** The quota of a customer, which now counts as the one used last; null if it is not known. */
  CustomerQuota use(long customer) {
    CustomerQuota quota = protectedCustomers.remove(customer);
    if (quota == null) {
      quota = probationary.remove(customer);
    }
    if (quota != null) {
      protectedCustomers.put(customer, quota);
      limitProtected();
    }
    return quota;
  }

  private void limitProtected() {
    if (protectedCustomers.size() > MAX_PROTECTED) {
      Iterator<Map.Entry<Long, CustomerQuota>> oldest = protectedCustomers.entrySet().iterator();
      Map.Entry<Long, CustomerQuota> demoted = oldest.next();
      oldest.remove();
      probationary.put(demoted.getKey(), demoted.getValue());
    }
  }

  /**
   * Adds a customer that is not known.
   *
   * @return the customer that was forgotten for it; null if none was
   */
  CustomerQuota add(long customer, CustomerQuota quota) {
    CustomerQuota forgotten = size() < MAX_CUSTOMERS ? null : removeLeastRecentlyUsed();
    probationary.put(customer, quota);
    return forgotten;
  }

  private CustomerQuota removeLeastRecentlyUsed() {
    Iterator<CustomerQuota> oldest = probationary.values().iterator();
    for (int skipped = 0; skipped < MAX_SKIPPED && oldest.hasNext(); skipped++) {
      CustomerQuota quota = oldest.next();
      if (!quota.hasOpenRequests()) {
        oldest.remove();
        return quota;
      }
    }
    return null;
  }

  int size() {
    return probationary.size() + protectedCustomers.size();
  }

  /** All quotas, those used longest ago first within each segment. */
  Collection<CustomerQuota> all() {
    List<CustomerQuota> all = new ArrayList<>(probationary.values());
    all.addAll(protectedCustomers.values());
    return all;
  }
}

package edgegateway.policy.admission;

import edgegateway.policy.api.QuotaPlan;
import java.util.HashMap;
import java.util.Map;

/**
 * The concurrency caps of all customers. Customers whose plan has no cap share one unlimited cap.
 */
public final class ConcurrencyCaps {
  private final ConcurrencyCap unlimited = new ConcurrencyCap(Integer.MAX_VALUE);
  private final Map<Long, ConcurrencyCap> caps = new HashMap<>();

  /** Forgets the cap of a customer without open requests. */
  public void forget(long customer) {
    caps.remove(customer);
  }

  /**
   * Returns the cap of a customer.
   *
   * @param customer the key of the customer
   * @param plan the customer's plan
   * @param customerNodes the number of nodes that receive the customer's requests, 1 or more
   */
  public ConcurrencyCap of(long customer, QuotaPlan plan, int customerNodes) {
    int maxOverAllNodes = plan.maxConcurrentAttempts();
    if (maxOverAllNodes <= 0) {
      return unlimited;
    }
    int maxOnThisNode = Math.max(1, maxOverAllNodes / customerNodes);
    return caps.computeIfAbsent(customer, key -> new ConcurrencyCap(maxOnThisNode));
  }
}

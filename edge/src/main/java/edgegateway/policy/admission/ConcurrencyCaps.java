package edgegateway.policy.admission;

import edgegateway.policy.api.QuotaPlan;
import java.util.HashMap;
import java.util.Map;

/** The concurrency caps of all customers whose plans have one. */
public final class ConcurrencyCaps {
  private final ConcurrencyCap unlimited = new ConcurrencyCap(Integer.MAX_VALUE);
  private final Map<Long, ConcurrencyCap> caps = new HashMap<>();

  /**
   * Returns the cap of a customer.
   *
   * @param plan the customer's plan
   * @param customerNodes how many nodes the customer comes through, 1 or more
   */
  public ConcurrencyCap of(long customer, QuotaPlan plan, int customerNodes) {
    int overAllNodes = plan.maxConcurrentAttempts();
    if (overAllNodes <= 0) {
      return unlimited;
    }
    int here = Math.max(1, overAllNodes / customerNodes);
    return caps.computeIfAbsent(customer, key -> new ConcurrencyCap(here));
  }
}

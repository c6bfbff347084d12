package edgegateway.testbed.scale;

import edgegateway.testbed.workload.CustomerPlan;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Each customer's quota as one who sees all edge nodes would keep it: a store that starts full,
 * fills at the plan's rate and holds its burst; a try takes its unit when it is first sent on, if
 * the store holds it. Times are nanoseconds and never run backwards; not thread-safe.
 */
final class QuotaTracker {
  private static final double SECOND = 1e9;

  private static final class Store {
    double units;
    long at;

    Store(double units, long at) {
      this.units = units;
      this.at = at;
    }
  }

  private final List<CustomerPlan> plans;
  private final Map<Long, Store> stores = new HashMap<>();

  QuotaTracker(List<CustomerPlan> plans) {
    this.plans = plans;
  }

  private Store store(long now, long customer, int plan) {
    CustomerPlan of = plans.get(plan);
    Store store = stores.computeIfAbsent(customer, any -> new Store(of.burst(), now));
    store.units = Math.min(of.burst(), store.units + (now - store.at) * of.rate() / SECOND);
    store.at = now;
    return store;
  }

  /**
   * A try is sent on for the first time; false if that is beyond the quota, which takes nothing.
   */
  boolean sent(long now, long customer, int plan) {
    Store store = store(now, customer, plan);
    boolean holds = store.units >= 1;
    store.units -= holds ? 1 : 0;
    return holds;
  }

  /** Whether a customer's store holds a unit. */
  boolean room(long now, long customer, int plan) {
    return store(now, customer, plan).units >= 1;
  }
}

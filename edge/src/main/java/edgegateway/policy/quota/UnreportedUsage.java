package edgegateway.policy.quota;

import edgegateway.policy.time.EventClock;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The quotas with usage not yet reported to the counter; chooses the order in which they report it.
 */
final class UnreportedUsage {
  private final EventClock clock;
  private final CounterCallBudget budget;
  private final Set<CustomerQuota> quotas = new LinkedHashSet<>();

  UnreportedUsage(EventClock clock, CounterCallBudget budget) {
    this.clock = clock;
    this.budget = budget;
  }

  void add(CustomerQuota quota) {
    quotas.add(quota);
  }

  /** Drops what a quota has not reported. */
  void remove(CustomerQuota quota) {
    quotas.remove(quota);
  }

  /**
   * Reports usage to the counter, the most urgent quota first, until the budget denies a call: if
   * it denies one for the most urgent quota, it denies one for all others.
   */
  void report() {
    quotas.removeIf(CustomerQuota::discardNegligibleUsage);
    CustomerQuota next = mostUrgent();
    while (next != null && budget.tryAcquire(next.reportUrgency())) {
      next.report();
      next = mostUrgent();
    }
  }

  /** Returns the most urgent of the quotas whose next report is due; null if none is due. */
  private CustomerQuota mostUrgent() {
    CustomerQuota selected = null;
    double highestUrgency = 0;
    for (CustomerQuota quota : quotas) {
      double urgency = clock.nowNanos() >= quota.nextReportNanos() ? quota.reportUrgency() : 0;
      if (urgency > highestUrgency) {
        selected = quota;
        highestUrgency = urgency;
      }
    }
    return selected;
  }
}

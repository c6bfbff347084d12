package edgegateway.policy.quota;

import edgegateway.policy.time.EventClock;
import java.util.LinkedHashSet;
import java.util.Set;

/** The quotas with usage not yet reported to the counter, and the order of reporting it. */
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

  /**
   * Reports usage to the counter, the most urgent first, while the budget has a call for it: if it
   * has none for the most urgent, it has none for the rest.
   */
  void report() {
    quotas.removeIf(CustomerQuota::discardIfSettled);
    CustomerQuota next = mostUrgent();
    while (next != null && budget.tryAcquire(next.reportUrgency())) {
      next.report();
      next = mostUrgent();
    }
  }

  /** The most urgent of the quotas whose next report is due; null if none is. */
  private CustomerQuota mostUrgent() {
    CustomerQuota most = null;
    double mostUrgency = 0;
    for (CustomerQuota quota : quotas) {
      double urgency = clock.nowNanos() >= quota.nextReportNanos() ? quota.reportUrgency() : 0;
      if (urgency > mostUrgency) {
        most = quota;
        mostUrgency = urgency;
      }
    }
    return most;
  }
}

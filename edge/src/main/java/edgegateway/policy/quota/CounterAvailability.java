package edgegateway.policy.quota;

import edgegateway.policy.api.PolicyActions;
import edgegateway.policy.time.Durations;
import edgegateway.policy.time.EventClock;

/**
 * Decides whether the shared counter is reachable: it is not once no call has been answered for
 * {@link #UNREACHABLE_AFTER_NANOS} since the first call of the outage. Where calls are rare, the
 * last answer may be long ago, so the time counts from that call.
 */
final class CounterAvailability {
  private static final long UNREACHABLE_AFTER_NANOS = Durations.NANOS_PER_SECOND / 2;

  private final EventClock clock;
  private final PolicyActions actions;
  private long unansweredSinceNanos = Long.MAX_VALUE;
  private boolean unreachable;

  CounterAvailability(EventClock clock, PolicyActions actions) {
    this.clock = clock;
    this.actions = actions;
  }

  boolean unreachable() {
    return unreachable;
  }

  void callSent() {
    unansweredSinceNanos = Math.min(unansweredSinceNanos, clock.nowNanos());
  }

  void callEnded(boolean answered) {
    if (answered) {
      unansweredSinceNanos = Long.MAX_VALUE;
    }
    update();
  }

  /** Decides anew, and logs a change. */
  void update() {
    boolean overdue = clock.nowNanos() - UNREACHABLE_AFTER_NANOS > unansweredSinceNanos;
    if (overdue == unreachable) {
      return;
    }
    unreachable = overdue;
    actions.log(
        unreachable
            ? "counter_unreachable quota_source=local_share"
            : "counter_reachable quota_source=counter");
  }
}

package edgegateway.policy.quota;

import edgegateway.policy.api.PolicyActions;
import edgegateway.policy.time.Durations;
import edgegateway.policy.time.EventClock;

/**
 * Decides whether the shared counter is reachable. It counts as unreachable once no call has been
 * answered for more than {@link #UNREACHABLE_AFTER_NANOS}. The time runs from the first call after
 * the last answer, not from that answer, which may be long ago where calls are rare.
 */
final class CounterAvailability {
  private static final long UNREACHABLE_AFTER_NANOS = Durations.NANOS_PER_SECOND / 2;

  private final EventClock clock;
  private final PolicyActions actions;

  /** When the first call since the last answer was sent; {@link Long#MAX_VALUE} if none was. */
  private long unansweredSinceNanos = Long.MAX_VALUE;

  private boolean unreachable;

  CounterAvailability(EventClock clock, PolicyActions actions) {
    this.clock = clock;
    this.actions = actions;
  }

  /** Whether the counter was unreachable at the last update. */
  boolean unreachable() {
    return unreachable;
  }

  /** Records that a call was sent. */
  void callSent() {
    unansweredSinceNanos = Math.min(unansweredSinceNanos, clock.nowNanos());
  }

  /**
   * Records the end of a call.
   *
   * @param answered whether the counter answered
   */
  void callEnded(boolean answered) {
    if (answered) {
      unansweredSinceNanos = Long.MAX_VALUE;
    }
    update();
  }

  /** Decides again whether the counter is reachable, and logs a change. */
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

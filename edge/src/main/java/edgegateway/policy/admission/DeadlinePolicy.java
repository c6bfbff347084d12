package edgegateway.policy.admission;

import edgegateway.policy.scheduling.PendingRequest;
import edgegateway.policy.time.Durations;
import edgegateway.policy.time.EventClock;

/** Decides which requests are too late to be sent. */
public final class DeadlinePolicy {
  /** A first attempt needs this many expected service times. */
  private static final double FIRST_ATTEMPT_SERVICE_TIMES = 1.5;

  private final EventClock clock;
  private final long minLeftNanos;

  /**
   * Creates the policy.
   *
   * @param eventPeriodNanos the host's events come at most this often
   */
  public DeadlinePolicy(EventClock clock, long eventPeriodNanos) {
    this.clock = clock;
    // The next looks at the queue must not come too late for the answer.
    minLeftNanos = 2 * Durations.TIMER_PERIOD_NANOS + eventPeriodNanos;
  }

  /** Whether a request can't be answered by its latency objective if it is sent now. */
  public boolean cannotMeetObjective(PendingRequest request) {
    long neededNanos =
        request.attempts() == 0
            ? Durations.toNanos(FIRST_ATTEMPT_SERVICE_TIMES * request.expectedServiceSeconds())
            : 0;
    long answeredNanos = clock.nowNanos() + Math.max(neededNanos, minLeftNanos);
    return answeredNanos >= request.objectiveAtNanos();
  }
}

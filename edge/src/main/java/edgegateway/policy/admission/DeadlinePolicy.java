package edgegateway.policy.admission;

import edgegateway.policy.scheduling.PendingRequest;
import edgegateway.policy.time.Durations;
import edgegateway.policy.time.EventClock;

/** Decides which requests can no longer be answered in time. */
public final class DeadlinePolicy {
  /** The time left for a first attempt must exceed this multiple of the expected service time. */
  private static final double MIN_SERVICE_TIMES_FOR_FIRST_ATTEMPT = 1.5;

  private final EventClock clock;
  private final long minRemainingNanos;

  /**
   * Creates the policy.
   *
   * @param eventPeriodNanos the minimum time between two batches of the host's events; 0 if events
   *     come at any time
   */
  public DeadlinePolicy(EventClock clock, long eventPeriodNanos) {
    this.clock = clock;
    // A late request is noticed only at the next event. Without this margin, its final answer
    // could itself come after the objective.
    minRemainingNanos = 2 * Durations.TIMER_PERIOD_NANOS + eventPeriodNanos;
  }

  /** Whether a request cannot be answered by its latency objective if it is sent now. */
  public boolean cannotMeetObjective(PendingRequest request) {
    long neededNanos =
        request.attempts() == 0
            ? Durations.toNanos(
                MIN_SERVICE_TIMES_FOR_FIRST_ATTEMPT * request.expectedServiceSeconds())
            : 0;
    long earliestAnswerAtNanos = clock.nowNanos() + Math.max(neededNanos, minRemainingNanos);
    return earliestAnswerAtNanos >= request.objectiveAtNanos();
  }
}

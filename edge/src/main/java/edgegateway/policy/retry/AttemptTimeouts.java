package edgegateway.policy.retry;

import edgegateway.policy.api.Idempotency;
import edgegateway.policy.scheduling.PendingRequest;
import edgegateway.policy.time.Durations;
import edgegateway.policy.time.EventClock;

/** Decides how long an attempt may take. */
public final class AttemptTimeouts {
  /** A slow endpoint seldom takes so many expected service times; an unresponsive one does. */
  private static final double UNRESPONSIVE_SERVICE_TIMES = 6;

  /** The expected service times that must be left for another attempt. */
  private static final double RETRY_SERVICE_TIMES = 3;

  private static final long MIN_TIMEOUT_NANOS = Durations.NANOS_PER_MILLISECOND;

  private final EventClock clock;
  private final RetryBudget budget;

  /** Creates timeouts that are short only while the budget has retries to spare. */
  public AttemptTimeouts(EventClock clock, RetryBudget budget) {
    this.clock = clock;
    this.budget = budget;
  }

  /**
   * Returns the timeout of the attempt that is sent now: for as long as an answer has a value. A
   * first attempt of a request that may be repeated is cut short if another one could still be in
   * time: an unresponsive endpoint must not cost the request.
   *
   * @param belowConcurrencyLimit whether another request could be sent at once
   * @return the timeout in nanoseconds, 1 ms or more
   */
  public long timeoutNanos(PendingRequest request, boolean belowConcurrencyLimit) {
    boolean lateIsWorthless = request.requestClass().lateValueFraction() <= 0;
    long untilNanos = lateIsWorthless ? request.objectiveAtNanos() : request.deadlineNanos();
    long leftNanos = untilNanos - clock.nowNanos();
    double serviceSeconds = request.expectedServiceSeconds();
    long shortNanos = Durations.toNanos(UNRESPONSIVE_SERVICE_TIMES * serviceSeconds);
    long retryNanos = Durations.toNanos(RETRY_SERVICE_TIMES * serviceSeconds);
    boolean retryPossible =
        request.attempts() == 1
            && request.requestClass().idempotency() != Idempotency.NOT_IDEMPOTENT
            && belowConcurrencyLimit
            && budget.isHalfFull()
            && shortNanos + retryNanos < leftNanos;
    return retryPossible ? shortNanos : Math.max(MIN_TIMEOUT_NANOS, leftNanos);
  }
}

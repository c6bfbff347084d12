package edgegateway.policy.retry;

import edgegateway.policy.api.Idempotency;
import edgegateway.policy.scheduling.PendingRequest;
import edgegateway.policy.time.Durations;
import edgegateway.policy.time.EventClock;

/** Computes the timeouts of attempts. */
public final class AttemptTimeouts {
  /**
   * The short timeout as a multiple of the expected service time: a slow endpoint seldom needs that
   * long, an unresponsive one exceeds it.
   */
  private static final double SHORT_TIMEOUT_SERVICE_TIMES = 6;

  /** The time that must remain for a retry, as a multiple of the expected service time. */
  private static final double RETRY_RESERVE_SERVICE_TIMES = 3;

  private static final long MIN_TIMEOUT_NANOS = Durations.NANOS_PER_MILLISECOND;

  private final EventClock clock;
  private final RetryBudget budget;

  /** Creates timeouts that are short only while the retry budget is at least half full. */
  public AttemptTimeouts(EventClock clock, RetryBudget budget) {
    this.clock = clock;
    this.budget = budget;
  }

  /**
   * Returns the timeout of the attempt that is sent now. It lasts for as long as an answer has a
   * value. The first attempt of a request that may be retried gets the short timeout if a retry
   * after it could still be in time, so that an unresponsive endpoint does not make the request
   * fail.
   *
   * @param belowConcurrencyLimit whether another request could be sent at once
   * @return the timeout in nanoseconds; 1 ms or more unless it is the short timeout
   */
  public long timeoutNanos(PendingRequest request, boolean belowConcurrencyLimit) {
    boolean lateIsWorthless = request.requestClass().lateValueFraction() <= 0;
    long endAtNanos = lateIsWorthless ? request.objectiveAtNanos() : request.deadlineNanos();
    long remainingNanos = endAtNanos - clock.nowNanos();
    double serviceSeconds = request.expectedServiceSeconds();
    long shortTimeoutNanos = Durations.toNanos(SHORT_TIMEOUT_SERVICE_TIMES * serviceSeconds);
    long retryReserveNanos = Durations.toNanos(RETRY_RESERVE_SERVICE_TIMES * serviceSeconds);
    boolean retryPossible =
        request.attempts() == 1
            && request.requestClass().idempotency() != Idempotency.NOT_IDEMPOTENT
            && belowConcurrencyLimit
            && budget.isHalfFull()
            && shortTimeoutNanos + retryReserveNanos < remainingNanos;
    return retryPossible ? shortTimeoutNanos : Math.max(MIN_TIMEOUT_NANOS, remainingNanos);
  }
}

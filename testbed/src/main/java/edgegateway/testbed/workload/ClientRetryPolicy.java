package edgegateway.testbed.workload;

import java.util.SplittableRandom;

/**
 * When clients retry requests that were rejected, failed or reached no node. The deadline of the
 * first attempt holds for all attempts of a request.
 *
 * @param maxRetries maximum number of retries per request; 0 for none
 * @param meanDelayNanos mean backoff where no {@code Retry-After} is given or honored, in
 *     nanoseconds; each backoff is 0.5 to 1.5 times the mean
 * @param honorsRetryAfter whether clients wait for at least the given {@code Retry-After}
 */
public record ClientRetryPolicy(int maxRetries, long meanDelayNanos, boolean honorsRetryAfter) {
  /** Clients never retry. */
  public static final ClientRetryPolicy NONE = new ClientRetryPolicy(0, 1, true);

  private static final char ATTEMPT_SEPARATOR = '.';

  /** Validates the ranges; an error message names the setting of the scenario file. */
  public ClientRetryPolicy {
    if (maxRetries < 0 || meanDelayNanos < 1) {
      throw new IllegalArgumentException(
          (maxRetries < 0 ? "most is below 0" : "after-s is not above 0"));
    }
  }

  /** Returns the id of an attempt; attempt 0, the first one, has the request's own id. */
  public static String attemptId(String requestId, int attempt) {
    return attempt == 0 ? requestId : requestId + ATTEMPT_SEPARATOR + attempt;
  }

  /** Returns the id of the request that an attempt belongs to. */
  public static String requestId(String attemptId) {
    int separator = attemptId.indexOf(ATTEMPT_SEPARATOR);
    return separator < 0 ? attemptId : attemptId.substring(0, separator);
  }

  /**
   * Returns the backoff before an attempt. It is the same each time for the same request id,
   * attempt and {@code Retry-After}.
   *
   * @param attempt number of the attempt that would follow; 1 is the first retry
   * @param retryAfterNanos the response's {@code Retry-After}, in nanoseconds; 0 for none
   * @param remainingNanos time until the request's deadline, in nanoseconds
   * @return nanoseconds, or -1 if no retries are left or the backoff would reach the deadline
   */
  public long delayNanos(String requestId, int attempt, long retryAfterNanos, long remainingNanos) {
    long meanNanos = honorsRetryAfter && retryAfterNanos > 0 ? retryAfterNanos : meanDelayNanos;
    long delay =
        (long)
            (meanNanos
                * (0.5 + new SplittableRandom(31L * requestId.hashCode() + attempt).nextDouble()));
    delay = honorsRetryAfter && retryAfterNanos > 0 ? Math.max(retryAfterNanos, delay) : delay;
    return attempt <= maxRetries && delay < remainingNanos ? delay : -1;
  }
}

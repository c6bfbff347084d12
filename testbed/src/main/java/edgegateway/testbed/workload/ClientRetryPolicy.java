package edgegateway.testbed.workload;

import java.util.SplittableRandom;

/**
 * When clients ask again that were refused, failed or reached nobody, each while its first deadline
 * lasts.
 *
 * @param maxRetries how many times more; 0 for never
 * @param meanDelayNanos the mean pause where no advice is given or heeded, in nanoseconds; each is
 *     half to one and a half of it
 * @param honorsRetryAfter whether they stay away for as long as they are advised
 */
public record ClientRetryPolicy(int maxRetries, long meanDelayNanos, boolean honorsRetryAfter) {
  /** Clients that ask once. */
  public static final ClientRetryPolicy NONE = new ClientRetryPolicy(0, 1, true);

  private static final char MARK = '.';

  /** Checks its ranges; the message names the figure. */
  public ClientRetryPolicy {
    if (maxRetries < 0 || meanDelayNanos < 1) {
      throw new IllegalArgumentException(
          (maxRetries < 0 ? "most is below 0" : "after is not above 0"));
    }
  }

  /** The id of a request's try, the first of which is 0. */
  public static String id(String request, int attempt) {
    return attempt == 0 ? request : request + MARK + attempt;
  }

  /** The request that a try's id belongs to. */
  public static String request(String id) {
    int mark = id.indexOf(MARK);
    return mark < 0 ? id : id.substring(0, mark);
  }

  /**
   * How long a request pauses before its next try; the same for the same request and try.
   *
   * @param retryAfterNanos as it was told, in nanoseconds; 0 for none
   * @return nanoseconds, or -1 if it asks no more, for want of tries or of time
   */
  public long delayNanos(String request, int attempt, long retryAfterNanos, long remainingNanos) {
    long meanNanos = honorsRetryAfter && retryAfterNanos > 0 ? retryAfterNanos : meanDelayNanos;
    long delay =
        (long)
            (meanNanos
                * (0.5 + new SplittableRandom(31L * request.hashCode() + attempt).nextDouble()));
    delay = honorsRetryAfter && retryAfterNanos > 0 ? Math.max(retryAfterNanos, delay) : delay;
    return attempt <= maxRetries && delay < remainingNanos ? delay : -1;
  }
}

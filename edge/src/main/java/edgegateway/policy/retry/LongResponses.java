package edgegateway.policy.retry;

import edgegateway.policy.api.ResponseProgress;
import edgegateway.policy.time.Durations;

/**
 * Decides how long the response of an archive server may take. A short response must be complete by
 * its deadline. Of a long one only the beginning must be in time; the rest is not cut off while the
 * server goes on sending.
 */
public final class LongResponses {
  /** A longer response counts as long, in bytes. */
  static final long MAX_SHORT_BYTES = 64 << 10;

  /** No response is longer, so one that exceeds this after its deadline is faulty, in bytes. */
  static final long MAX_BYTES = 32 << 20;

  private static final long MAX_PAUSE_BEFORE_STREAMING_NANOS =
      600 * Durations.NANOS_PER_MILLISECOND;
  private static final long MAX_PAUSE_NANOS = 1_500 * Durations.NANOS_PER_MILLISECOND;

  /** An answer may be half a second late, less a margin for its way to the client. */
  private static final long MAX_LATENESS_OF_SHORT_NANOS = 400 * Durations.NANOS_PER_MILLISECOND;

  private LongResponses() {}

  /**
   * Whether a response that is incomplete at the timeout of its attempt is streamed to the client
   * from now on, instead of being cut off.
   *
   * @param progress how far the response has come
   */
  public static boolean streamsAtTimeout(ResponseProgress progress) {
    long declaredBytes = progress.declaredBytes();
    boolean mayBeLong =
        declaredBytes == ResponseProgress.UNKNOWN_LENGTH || declaredBytes > MAX_SHORT_BYTES;
    return mayBeLong && progress.silentNanos() <= MAX_PAUSE_BEFORE_STREAMING_NANOS;
  }

  /**
   * Whether a streamed response that is incomplete at or after the client's deadline goes on.
   *
   * @param progress how far the response has come
   * @param lateNanos the time since the client's deadline
   */
  public static boolean goesOnAfterDeadline(ResponseProgress progress, long lateNanos) {
    long declaredBytes = progress.declaredBytes();
    long receivedBytes = progress.receivedBytes();
    if (Math.max(declaredBytes, receivedBytes) > MAX_BYTES) {
      return false;
    }
    if (declaredBytes > MAX_SHORT_BYTES || receivedBytes > MAX_SHORT_BYTES) {
      return progress.silentNanos() <= MAX_PAUSE_NANOS;
    }
    return declaredBytes == ResponseProgress.UNKNOWN_LENGTH
        && progress.silentNanos() <= MAX_LATENESS_OF_SHORT_NANOS
        && lateNanos <= MAX_LATENESS_OF_SHORT_NANOS;
  }
}

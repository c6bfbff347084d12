package edgegateway.policy.retry;

import edgegateway.policy.api.ResponseProgress;
import edgegateway.policy.time.Durations;

/**
 * Decides how long the response of an archive server may take. A short response must be complete by
 * its deadline. Of a long one only the beginning must be in time; the rest is not cut off while the
 * server goes on sending, with pauses.
 */
public final class LongResponses {
  /** A longer response counts as long, in bytes. */
  static final long MAX_SHORT_BYTES = 64 << 10;

  /** No response is longer, so one that exceeds this is faulty, in bytes. */
  static final long MAX_BYTES = 32 << 20;

  /** From here on an incomplete response that may be long is taken for long, in bytes. */
  static final long MIN_BYTES_OF_LIKELY_LONG = 16 << 10;

  /**
   * A server that has been writing for so long writes slowly, as those of long responses do: one
   * that breaks off has sent at once what it sends, and no stall of this process lasts as long.
   */
  private static final long MIN_SLOW_WRITING_NANOS = 300 * Durations.NANOS_PER_MILLISECOND;

  /** A server that sends nothing for longer has stopped; as long as any client waits. */
  private static final long MAX_PAUSE_NANOS = 3 * Durations.NANOS_PER_SECOND;

  /** An answer may be half a second late, less a margin for its way to the client. */
  private static final long MAX_LATENESS_OF_SHORT_NANOS = 400 * Durations.NANOS_PER_MILLISECOND;

  /** The beginning of a long response is passed on after this, as its rest may take seconds. */
  private static final long MAX_HOLD_NANOS = Durations.NANOS_PER_SECOND;

  private LongResponses() {}

  /**
   * Whether the buffered beginning of an incomplete response is streamed to the client from now on,
   * although the attempt has time left.
   *
   * @param progress how far the response has come
   * @param heldNanos how long its first bytes have been buffered
   */
  public static boolean streamsBuffered(ResponseProgress progress, long heldNanos) {
    return mayBeLong(progress)
        && (hasMuchArrived(progress) || isWrittenSlowly(progress))
        && heldNanos >= MAX_HOLD_NANOS;
  }

  /**
   * How long an attempt whose timeout has expired goes on to wait for the rest of a response's
   * head, in nanoseconds. Unless it is positive, the attempt is ended.
   *
   * @param silentNanos how long the server has sent nothing
   * @param untilDeadlineNanos the time until the request's deadline
   */
  public static long headWaitNanos(long silentNanos, long untilDeadlineNanos) {
    return Math.min(MAX_PAUSE_NANOS - silentNanos, untilDeadlineNanos);
  }

  /**
   * Whether a response that is incomplete at the timeout of its attempt is streamed to the client
   * from now on, instead of being cut off.
   *
   * @param progress how far the response has come
   */
  public static boolean streamsAtTimeout(ResponseProgress progress) {
    return mayBeLong(progress) && progress.silentNanos() <= MAX_PAUSE_NANOS;
  }

  /**
   * Whether a streamed response that is incomplete at or after the client's deadline goes on.
   *
   * @param progress how far the response has come
   * @param lateNanos the time since the client's deadline
   */
  public static boolean goesOnAfterDeadline(ResponseProgress progress, long lateNanos) {
    if (!mayBeLong(progress)) {
      return false;
    }
    return isLikelyLong(progress)
        ? progress.silentNanos() <= MAX_PAUSE_NANOS
        : lateNanos <= MAX_LATENESS_OF_SHORT_NANOS;
  }

  private static boolean mayBeLong(ResponseProgress progress) {
    long declaredBytes = progress.declaredBytes();
    boolean longerThanAny = Math.max(declaredBytes, progress.receivedBytes()) > MAX_BYTES;
    return !longerThanAny && (isLengthUnknown(progress) || declaredBytes > MAX_SHORT_BYTES);
  }

  private static boolean isLikelyLong(ResponseProgress progress) {
    return !isLengthUnknown(progress) || hasMuchArrived(progress) || isWrittenSlowly(progress);
  }

  private static boolean hasMuchArrived(ResponseProgress progress) {
    return progress.receivedBytes() >= MIN_BYTES_OF_LIKELY_LONG;
  }

  private static boolean isWrittenSlowly(ResponseProgress progress) {
    return progress.writingNanos() >= MIN_SLOW_WRITING_NANOS;
  }

  private static boolean isLengthUnknown(ResponseProgress progress) {
    return progress.declaredBytes() == ResponseProgress.UNKNOWN_LENGTH;
  }
}

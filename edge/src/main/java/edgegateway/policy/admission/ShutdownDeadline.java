package edgegateway.policy.admission;

import edgegateway.policy.api.RequestClass;
import edgegateway.policy.time.Durations;
import java.util.List;

/**
 * By when a node that was told to stop must have answered every request. The platform kills the
 * process after a time that depends on the settings, and until then clients send on connections
 * that are open.
 */
public final class ShutdownDeadline {
  /** A longer client timeout does not make the platform wait longer. */
  private static final long MAX_CLIENT_TIMEOUT_NANOS = 3 * Durations.NANOS_PER_SECOND;

  /** How long the platform waits beyond the longest client timeout. */
  private static final long KILL_GRACE_NANOS = 700 * Durations.NANOS_PER_MILLISECOND;

  /** Covers a late signal, a held-up process, and the way of an answer to its client. */
  private static final long MARGIN_NANOS = 300 * Durations.NANOS_PER_MILLISECOND;

  private ShutdownDeadline() {}

  /**
   * The time at which the last request must be answered, and from which on a request is answered at
   * once.
   *
   * @param stopNanos when the node was told to stop
   */
  public static long answerByNanos(long stopNanos, List<RequestClass> requestClasses) {
    long longestTimeoutNanos =
        requestClasses.stream().mapToLong(RequestClass::clientTimeoutNanos).max().orElse(0);
    long killNanos =
        stopNanos + Math.min(longestTimeoutNanos, MAX_CLIENT_TIMEOUT_NANOS) + KILL_GRACE_NANOS;
    return killNanos - MARGIN_NANOS;
  }
}

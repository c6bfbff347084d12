package edgegateway.node.connections;

import java.util.SplittableRandom;

/**
 * Exponential backoff after failed connects to one archive server: the delay doubles with each
 * failure, half of it is random jitter, and a successful connect resets it. All times are
 * nanoseconds of the same clock.
 */
final class ConnectBackoff {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long INITIAL_DELAY_NANOS = 20 * NANOS_PER_MILLI;
  private static final long MAX_DELAY_NANOS = 1_000 * NANOS_PER_MILLI;
  private static final int MAX_DOUBLINGS = 10;

  private final SplittableRandom random;
  private int failures;
  private long nextConnectAtNanos = Long.MIN_VALUE;

  ConnectBackoff(SplittableRandom random) {
    this.random = random;
  }

  boolean allowsConnect(long nowNanos) {
    return nowNanos >= nextConnectAtNanos;
  }

  /** Whether a connect has failed since the last successful one. */
  boolean isFailing() {
    return failures > 0;
  }

  void connected() {
    failures = 0;
  }

  void connectFailed(long nowNanos) {
    int doublings = Math.min(MAX_DOUBLINGS, failures);
    failures++;
    long halfDelayNanos = Math.min(MAX_DELAY_NANOS, INITIAL_DELAY_NANOS << doublings) / 2;
    nextConnectAtNanos = nowNanos + halfDelayNanos + random.nextLong(halfDelayNanos);
  }

  /**
   * Delays the next connect briefly because this process has no file descriptor left, which does
   * not count as a failure of the server.
   */
  void descriptorsExhausted(long nowNanos) {
    nextConnectAtNanos = nowNanos + INITIAL_DELAY_NANOS;
  }
}

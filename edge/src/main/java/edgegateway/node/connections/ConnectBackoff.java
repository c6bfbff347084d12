package edgegateway.node.connections;

import java.util.SplittableRandom;

/**
 * When an archive server may be connected to again after connect failures: the wait doubles with
 * each one, half of it random, and ends with the first success. Times are nanoseconds of one clock.
 */
final class ConnectBackoff {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long INITIAL_NANOS = 20 * NANOS_PER_MILLI;
  private static final long MAX_NANOS = 1_000 * NANOS_PER_MILLI;
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

  /** Whether the last connect failed. */
  boolean isFailing() {
    return failures > 0;
  }

  void connected() {
    failures = 0;
  }

  void connectFailed(long nowNanos) {
    int doublings = Math.min(MAX_DOUBLINGS, failures);
    failures++;
    long halfNanos = Math.min(MAX_NANOS, INITIAL_NANOS << doublings) / 2;
    nextConnectAtNanos = nowNanos + halfNanos + random.nextLong(halfNanos);
  }

  /** This process had no file descriptor: a short wait that counts as no failure. */
  void descriptorsExhausted(long nowNanos) {
    nextConnectAtNanos = nowNanos + INITIAL_NANOS;
  }
}

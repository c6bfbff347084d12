package edgegateway.node.connections;

import java.util.concurrent.TimeUnit;

/**
 * The limit on clients' connections: the budgeted limit, or for some time a lower limit, because
 * the process ran out of file descriptors although the budget allowed more connections. Times are
 * nanoseconds of one clock.
 */
final class ClientCapacity {
  /** How long after the last shortage of descriptors the lowered limit begins to rise. */
  private static final long LOWERED_LIMIT_HOLD_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** How far the lowered limit is below the number of connections when descriptors ran out. */
  private static final int LOWERED_LIMIT_MARGIN = 8;

  private static final int UNLIMITED = Integer.MAX_VALUE;

  private int budgetedLimit;
  private int loweredLimit = UNLIMITED;
  private long exhaustedAtNanos;

  void setBudgeted(int connections) {
    budgetedLimit = connections;
  }

  /** The maximum number of connections at present. */
  int connections() {
    return Math.min(budgetedLimit, loweredLimit);
  }

  /**
   * Lowers the limit because no file descriptor is left with this number of open connections;
   * returns false if the limit was already lowered before.
   */
  boolean descriptorsExhausted(long nowNanos, int openConnections) {
    boolean first = loweredLimit == UNLIMITED;
    loweredLimit = Math.max(1, Math.min(loweredLimit, openConnections - LOWERED_LIMIT_MARGIN));
    exhaustedAtNanos = nowNanos;
    return first;
  }

  /**
   * Raises the lowered limit by one if its hold time is over, or removes it if it has reached the
   * budgeted limit. Called periodically.
   */
  void recover(long nowNanos) {
    if (loweredLimit < budgetedLimit && nowNanos - exhaustedAtNanos > LOWERED_LIMIT_HOLD_NANOS) {
      loweredLimit++;
    } else if (loweredLimit >= budgetedLimit) {
      loweredLimit = UNLIMITED;
    }
  }
}

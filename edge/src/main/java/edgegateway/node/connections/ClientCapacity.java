package edgegateway.node.connections;

import java.util.concurrent.TimeUnit;

/**
 * How many clients' connections the table may hold: as many as the budget allows, or temporarily
 * fewer after the process ran out of file descriptors at a lower number. Times are nanoseconds of
 * one clock.
 */
final class ClientCapacity {
  /** How long the observed limit stays unchanged before it is raised step by step. */
  private static final long OBSERVED_LIMIT_HOLD_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** How far the observed limit is below the number at which descriptors ran out. */
  private static final int OBSERVED_LIMIT_MARGIN = 8;

  private static final int UNLIMITED = Integer.MAX_VALUE;

  private int budgetedLimit;
  private int observedLimit = UNLIMITED;
  private long observedAtNanos;

  void setBudgeted(int connections) {
    budgetedLimit = connections;
  }

  int connections() {
    return Math.min(budgetedLimit, observedLimit);
  }

  /**
   * Lowers the limit because no file descriptor is left with this number of open connections;
   * returns false if a limit was already observed.
   */
  boolean descriptorsExhausted(long nowNanos, int open) {
    boolean first = observedLimit == UNLIMITED;
    observedLimit = Math.max(1, Math.min(observedLimit, open - OBSERVED_LIMIT_MARGIN));
    observedAtNanos = nowNanos;
    return first;
  }

  /**
   * Raises the observed limit by one once its hold time is over, and removes it when it has reached
   * the budgeted limit. Called periodically.
   */
  void recover(long nowNanos) {
    if (observedLimit < budgetedLimit && nowNanos - observedAtNanos > OBSERVED_LIMIT_HOLD_NANOS) {
      observedLimit++;
    } else if (observedLimit >= budgetedLimit) {
      observedLimit = UNLIMITED;
    }
  }
}

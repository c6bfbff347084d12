package edgegateway.node.connections;

import java.util.concurrent.TimeUnit;

/**
 * How many clients' connections have a place: as many as the budget says, or fewer for a while
 * after the process had no descriptor left at a lower number. Times are nanoseconds of one clock.
 */
final class ClientCapacity {
  /** How long the observed limit holds before it is raised by one at a time. */
  private static final long OBSERVED_HOLD_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Connections below the number at which descriptors ran out. */
  private static final int OBSERVED_MARGIN = 8;

  private static final int UNLIMITED = Integer.MAX_VALUE;

  private int budgeted;
  private int observed = UNLIMITED;
  private long observedAtNanos;

  void setBudgeted(int connections) {
    budgeted = connections;
  }

  int connections() {
    return Math.min(budgeted, observed);
  }

  /** No descriptor is left with so many open; false if a lower limit had been observed already. */
  boolean descriptorsExhausted(long now, int open) {
    boolean first = observed == UNLIMITED;
    observed = Math.max(1, Math.min(observed, open - OBSERVED_MARGIN));
    observedAtNanos = now;
    return first;
  }

  /** Raises the observed limit by one after its time, and forgets it at the budgeted one. */
  void recover(long now) {
    if (observed < budgeted && now - observedAtNanos > OBSERVED_HOLD_NANOS) {
      observed++;
    } else if (observed >= budgeted) {
      observed = UNLIMITED;
    }
  }
}

package edgegateway.node.logging;

import java.util.concurrent.TimeUnit;

/**
 * Bounds how many lines of one kind are logged in a second, and counts those left out. Not
 * thread-safe. Times are nanoseconds of one clock.
 */
public final class LineBudget {
  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final int maxLinesPerSecond;
  private long secondStartedNanos;
  private int lines;
  private long leftOut;

  /** Creates a budget whose first second starts at {@code nowNanos}. */
  public LineBudget(int maxLinesPerSecond, long nowNanos) {
    this.maxLinesPerSecond = maxLinesPerSecond;
    secondStartedNanos = nowNanos;
  }

  /** Takes a line from the budget; returns false if it is to be left out. */
  public boolean tryAcquire(long nowNanos) {
    if (nowNanos - secondStartedNanos >= SECOND_NANOS) {
      secondStartedNanos = nowNanos;
      lines = 0;
    }
    if (lines >= maxLinesPerSecond) {
      leftOut++;
      return false;
    }
    lines++;
    return true;
  }

  /** Returns how many lines were left out since the last call. */
  public long takeLeftOut() {
    long count = leftOut;
    leftOut = 0;
    return count;
  }
}

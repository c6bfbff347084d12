package edgegateway.node.lifecycle;

import java.util.concurrent.TimeUnit;

/**
 * Whether the loop has just stood still: what lies at its sockets may not have been read then, nor
 * answered, and what is known of a client is as old as the standstill is long. Times are
 * nanoseconds of one clock.
 */
public final class EventLoopStallDetector {
  /** The module's timer comes each 10 ms; one that comes this late tells of a standstill. */
  static final long LATE_TIMER_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /**
   * After one the sockets are read, and clients that ended their sending are asked, and may answer.
   */
  public static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private long ticked;
  private long settled;

  /** The loop ran now. */
  public EventLoopStallDetector(long now) {
    ticked = now;
    settled = now;
  }

  /** The loop's timer came. */
  public void tick(long now) {
    look(now);
    ticked = now;
  }

  /** Whether there was none of late. */
  public boolean none(long now) {
    look(now);
    return now - settled >= 0;
  }

  private void look(long now) {
    if (now - ticked > LATE_TIMER_NANOS) {
      settled = now + SETTLE_NANOS;
      ticked = now;
    }
  }
}

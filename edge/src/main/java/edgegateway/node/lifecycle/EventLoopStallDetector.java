package edgegateway.node.lifecycle;

import java.util.concurrent.TimeUnit;

/**
 * Detects stalls of the event loop. Right after a stall, data that arrived meanwhile may be unread,
 * and what is known of a client is as old as the stall was long. Times are nanoseconds of one
 * clock; for the event loop's thread.
 */
public final class EventLoopStallDetector {
  /** The policy's timer fires each 10 ms; one that is this late reveals a stall. */
  static final long LATE_TIMER_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /**
   * Time after a stall in which sockets are read and half-closed clients are probed and may answer.
   */
  public static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private long ticked;
  private long settled;

  /** Starts without a stall. */
  public EventLoopStallDetector(long now) {
    ticked = now;
    settled = now;
  }

  /** The loop's timer came. */
  public void timerFired(long now) {
    look(now);
    ticked = now;
  }

  /** Whether there was none of late. */
  public boolean noRecentStall(long now) {
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

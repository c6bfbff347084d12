package edgegateway.node.lifecycle;

import java.util.concurrent.TimeUnit;

/**
 * Detects stalls of the event loop by a gap between the firings of a periodic timer. A process
 * stops for a garbage collection, for SIGSTOP, or on a machine with too few free cores. Right after
 * a stall, data that arrived meanwhile may be unread, and what is known of a client's presence is
 * as old as the stall was long. All times are nanoseconds of the same clock. Not thread-safe: used
 * on the event loop's thread only.
 */
public final class EventLoopStallDetector {
  /** The last two firings of the policy's timer are no older while the event loop is prompt. */
  private static final long MAX_PROMPT_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

  /** A longer gap between two firings is a stall; the policy's timer fires every 10 ms. */
  static final long MAX_TIMER_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /**
   * Time after a stall that is enough to read the sockets, to probe half-closed clients and to
   * receive their replies.
   */
  public static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private long lastFiredNanos;

  /** The firing before the last one. */
  private long previousFiredNanos;

  private long settledAtNanos;

  /** Creates a detector that has seen no stall; {@code nowNanos} counts as the first firing. */
  public EventLoopStallDetector(long nowNanos) {
    lastFiredNanos = nowNanos;
    previousFiredNanos = nowNanos;
    settledAtNanos = nowNanos;
  }

  /** Called each time the periodic timer fires. */
  public void timerFired(long nowNanos) {
    detectStall(nowNanos);
    previousFiredNanos = lastFiredNanos;
    lastFiredNanos = nowNanos;
  }

  /**
   * The earliest time at which something can have arrived that is read from a socket now. The
   * selector has run since the firing before the last one; what arrived earlier was read then.
   * While the event loop is prompt, that is now.
   */
  public long earliestArrivalNanos(long nowNanos) {
    return nowNanos - previousFiredNanos > MAX_PROMPT_NANOS ? previousFiredNanos : nowNanos;
  }

  /** False from the detection of a stall until {@link #SETTLE_NANOS} later, otherwise true. */
  public boolean noRecentStall(long nowNanos) {
    detectStall(nowNanos);
    return nowNanos - settledAtNanos >= 0;
  }

  private void detectStall(long nowNanos) {
    if (nowNanos - lastFiredNanos > MAX_TIMER_GAP_NANOS) {
      settledAtNanos = nowNanos + SETTLE_NANOS;
      previousFiredNanos = lastFiredNanos;
      lastFiredNanos = nowNanos;
    }
  }
}

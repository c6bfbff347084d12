package edgegateway.node.connections;

import java.util.concurrent.TimeUnit;

/**
 * How long a write may make no progress before its peer counts as one that does not read.
 *
 * <p>Linux asks for more only when a third of a socket's send buffer is free. Of a buffer that has
 * grown to 4 MB that third takes a peer at the minimum rate half a minute, in which it reads all
 * the time and no write is accepted. The timeout allows for this, and for a pause.
 */
public final class WriteStallTimeout {
  /** The pause that a peer may make. */
  private static final long PAUSE_MILLIS = 8_000;

  /** Peers may read as slowly as 64 bytes a millisecond; the rest is a margin. */
  private static final long MIN_BYTES_PER_MILLI = 48;

  /**
   * Half of a send buffer: the third that must be free before the socket is writable again, and
   * what the peer may read before its own receive buffer takes more.
   */
  private static final long WRITABLE_DIVISOR = 2;

  private WriteStallTimeout() {}

  /**
   * Whether a write has stalled.
   *
   * @param stalledNanos the time since the last progress
   */
  public static boolean isExpired(long stalledNanos, TransportHandle transport) {
    // The system call is made only for the few writes that have paused.
    return stalledNanos > nanos(0) && stalledNanos > nanos(transport.sendBufferBytes());
  }

  /**
   * The timeout in nanoseconds.
   *
   * @param sendBufferBytes size of the socket's send buffer
   */
  static long nanos(int sendBufferBytes) {
    long untilWritableMillis = sendBufferBytes / WRITABLE_DIVISOR / MIN_BYTES_PER_MILLI;
    return TimeUnit.MILLISECONDS.toNanos(PAUSE_MILLIS + untilWritableMillis);
  }
}

package edgegateway.node.clients;

/**
 * Tells since when bytes of a client, or the end of its connection, may have been waiting in the
 * socket. While a connection is behind, its client may have sent its request, or left, at any time
 * since then; otherwise both happen when they are read. Times are nanoseconds of one clock. Not
 * thread-safe: used on the event loop's thread only.
 */
final class InputBacklog {
  private boolean behind;
  private long behindSinceNanos;

  /** The socket was empty while the next read was requested. */
  void caughtUp() {
    behind = false;
  }

  /** From now on bytes may wait, because reading stopped or because a read left some. */
  void fellBehind(long nowNanos) {
    if (!behind) {
      behind = true;
      behindSinceNanos = nowNanos;
    }
  }

  /** Whether bytes or the end of the connection may be waiting unread. */
  boolean isBehind() {
    return behind;
  }

  /** The earliest time at which the client can have sent what is read now. */
  long sentAtNanos(long nowNanos) {
    return behind ? behindSinceNanos : nowNanos;
  }
}

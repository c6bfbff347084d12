package edgegateway.node.connections;

/**
 * The number of connections that an archive server accepts, learned when the server refuses a
 * connection while others are established. The limit then grows by one each period, until the
 * server refuses another connection.
 */
final class LearnedConnectionLimit {
  private static final long GROWTH_PERIOD_NANOS = 2_000_000_000L;

  /** {@link Integer#MAX_VALUE} until the server refuses a connection. */
  private int limit = Integer.MAX_VALUE;

  private long changedAtNanos;

  /** Lowers the limit to the established connections, because another one was refused. */
  void connectRefused(int established, long nowNanos) {
    limit = established;
    changedAtNanos = nowNanos;
  }

  /**
   * The current limit, raised first if its period is over. Called whenever another connection is
   * needed.
   */
  int current(long nowNanos) {
    if (limit != Integer.MAX_VALUE && nowNanos - changedAtNanos > GROWTH_PERIOD_NANOS) {
      limit++;
      changedAtNanos = nowNanos;
    }
    return limit;
  }
}

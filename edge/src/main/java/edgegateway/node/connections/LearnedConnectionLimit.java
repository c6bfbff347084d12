package edgegateway.node.connections;

/**
 * How many connections an archive server has room for, learned from one that it refused while it
 * served on others. The limit then grows by one a period, until the server refuses again.
 */
final class LearnedConnectionLimit {
  private static final long GROWTH_PERIOD_NANOS = 2_000_000_000L;

  /** {@link Integer#MAX_VALUE} while nothing was refused. */
  private int limit = Integer.MAX_VALUE;

  private long changedAtNanos;

  void refusedBeyond(int connections, long nowNanos) {
    limit = connections;
    changedAtNanos = nowNanos;
  }

  /** The limit now; called each time a further connection is wanted. */
  int current(long nowNanos) {
    if (limit != Integer.MAX_VALUE && nowNanos - changedAtNanos > GROWTH_PERIOD_NANOS) {
      limit++;
      changedAtNanos = nowNanos;
    }
    return limit;
  }
}

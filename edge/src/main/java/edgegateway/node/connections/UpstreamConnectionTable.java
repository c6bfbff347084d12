package edgegateway.node.connections;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * All connections to archive servers: enforces the limits, selects the idle connection to close
 * next, and estimates the cost of a new connection. Which connection an attempt gets is decided by
 * the server's {@link Upstream}. Does no I/O; callers pass the time, in nanoseconds of one clock.
 * Not thread-safe.
 *
 * <p>The connections of all nodes add up at an archive server, which can hold few connections and
 * has work with each new one. A node therefore opens connections only for waiting attempts, one at
 * a time to a server that is in slow start or failing, and with backoff to one that refuses them.
 */
public final class UpstreamConnectionTable {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long INITIAL_CONNECT_ESTIMATE_NANOS = NANOS_PER_MILLI;

  /** Minimum time before the archive server's keep-alive timeout to close an idle connection. */
  private static final long MIN_KEEP_ALIVE_MARGIN_NANOS = 1_000 * NANOS_PER_MILLI;

  private static final int KEEP_ALIVE_MARGIN_DIVISOR = 10;

  private final UpstreamTransport transport;
  private final ConnectionMetrics metrics;
  private final SplittableRandom random;
  private final long maxIdleNanos;

  /**
   * The longest idle first. One set for all servers, since out of thousands of archive servers most
   * have no idle connection.
   */
  private final Set<UpstreamConnection> idle = new LinkedHashSet<>();

  private final MovingAverage averageConnectTime =
      new MovingAverage(INITIAL_CONNECT_ESTIMATE_NANOS);
  private final MovingAverage averageFirstResponseTime = new MovingAverage();
  private final MovingAverage averageLaterResponseTime = new MovingAverage();
  private int maxOpen = Integer.MAX_VALUE;
  private int maxOpenPerUpstream = Integer.MAX_VALUE;

  /** Number of connections that are established or connecting. */
  private int open;

  /**
   * Creates an empty table.
   *
   * @param seed seed of the backoff's jitter
   * @param keepAliveNanos time after which an archive server closes an idle connection
   */
  public UpstreamConnectionTable(
      UpstreamTransport transport, ConnectionMetrics metrics, long seed, long keepAliveNanos) {
    this.transport = transport;
    this.metrics = metrics;
    random = new SplittableRandom(seed);
    maxIdleNanos = maxIdleNanos(keepAliveNanos);
  }

  /**
   * The time after which this side closes an idle connection that the server closes after its
   * keep-alive timeout.
   */
  public static long maxIdleNanos(long keepAliveNanos) {
    // A request that crosses the server's close fails with a reset: the margin exceeds the network
    // delay of a response.
    long marginNanos =
        Math.max(MIN_KEEP_ALIVE_MARGIN_NANOS, keepAliveNanos / KEEP_ALIVE_MARGIN_DIVISOR);
    return Math.max(keepAliveNanos / 2, keepAliveNanos - marginNanos);
  }

  /** Applies a new budget; closes idle connections that exceed it. */
  public void applyBudget(DescriptorBudget budget) {
    maxOpen = budget.upstreams();
    maxOpenPerUpstream = budget.perUpstream();
    boolean closed = true;
    while (open > maxOpen && closed) {
      closed = closeLongestIdle(null);
    }
  }

  /**
   * Creates the connection pool of one listed archive server instance at one address.
   *
   * @param slowStart whether the server started recently and is therefore still slow
   */
  public Upstream createUpstream(Object address, boolean slowStart) {
    return new Upstream(this, transport, new ConnectBackoff(random), address, slowStart);
  }

  /** Closes connections that have been idle for longer than allowed. */
  public void closeExpired(long nowNanos) {
    while (!idle.isEmpty()) {
      UpstreamConnection longestIdle = idle.iterator().next();
      if (nowNanos - longestIdle.stateSinceNanos() <= maxIdleNanos) {
        return;
      }
      longestIdle.upstream().close(longestIdle);
    }
  }

  /**
   * Closes the connection that has been idle the longest; returns false if no connection is idle.
   *
   * @param excluded the server whose connections are not considered; null for none
   */
  private boolean closeLongestIdle(Upstream excluded) {
    for (UpstreamConnection connection : idle) {
      if (connection.upstream() != excluded) {
        connection.upstream().close(connection);
        return true;
      }
    }
    return false;
  }

  int maxOpenPerUpstream() {
    return maxOpenPerUpstream;
  }

  boolean isFull() {
    return open >= maxOpen;
  }

  /**
   * Makes sure that this server may open one more connection, if necessary by closing an idle
   * connection of another server; returns false if that is not possible.
   */
  boolean ensureCapacity(Upstream upstream) {
    return !isFull() || closeLongestIdle(upstream);
  }

  void connecting() {
    open++;
    metrics.upstreamsOpen.set(open);
    metrics.upstreamConnects.incrementAndGet();
  }

  void connected(long durationNanos) {
    averageConnectTime.add(durationNanos);
  }

  void connectFailed() {
    metrics.upstreamConnectFailures.incrementAndGet();
  }

  /** Counts a connection that was opened elsewhere. */
  void adopted() {
    open++;
  }

  void reused() {
    metrics.upstreamReuses.incrementAndGet();
  }

  void responded(long durationNanos, boolean first) {
    (first ? averageFirstResponseTime : averageLaterResponseTime).add(durationNanos);
  }

  void becameIdle(UpstreamConnection connection) {
    idle.add(connection);
  }

  void noLongerIdle(UpstreamConnection connection) {
    idle.remove(connection);
  }

  void closed() {
    open--;
    metrics.upstreamsOpen.set(open);
  }

  /** Extra latency of an attempt on a new connection, compared with an established one. */
  double newConnectionCostNanos() {
    double firstResponseExtraNanos =
        averageLaterResponseTime.nanos() == 0
            ? 0
            : Math.max(0, averageFirstResponseTime.nanos() - averageLaterResponseTime.nanos());
    return averageConnectTime.nanos() + firstResponseExtraNanos;
  }
}

package edgegateway.node.connections;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * All connections to archive servers: their bounds, which idle one is closed next, and what a new
 * one costs. Which connection an attempt gets is decided by each server's {@link Upstream}. No I/O
 * is done here; the clock is given, in nanoseconds. For one thread.
 *
 * <p>What each node does alone adds up over a fleet: an archive server holds few connections, and
 * each new one costs it work. So connections are opened for attempts that wait and no more, one at
 * a time to a server that is in slow start or failing, and with backoff to one that refuses them.
 */
public final class UpstreamConnectionTable {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long ASSUMED_CONNECT_NANOS = NANOS_PER_MILLI;

  /** How far ahead of the archive server's keep-alive timeout an idle connection is closed. */
  private static final long MIN_KEEP_ALIVE_MARGIN_NANOS = 1_000 * NANOS_PER_MILLI;

  private static final int KEEP_ALIVE_MARGIN_DIVISOR = 10;

  private final UpstreamTransport transport;
  private final ConnectionMetrics metrics;
  private final SplittableRandom random;
  private final long maxIdleNanos;

  /** Idle for longest first; one set for all, since thousands of archive servers have none. */
  private final Set<UpstreamConnection> idle = new LinkedHashSet<>();

  private final MovingAverage connectTime = new MovingAverage(ASSUMED_CONNECT_NANOS);
  private final MovingAverage firstResponseTime = new MovingAverage();
  private final MovingAverage laterResponseTime = new MovingAverage();
  private int maxOpen = Integer.MAX_VALUE;
  private int maxOpenPerUpstream = Integer.MAX_VALUE;

  /** Established or connecting. */
  private int open;

  /**
   * No connection yet.
   *
   * @param seed of the backoff's jitter
   * @param keepAliveNanos after which an archive server itself closes an idle connection
   */
  public UpstreamConnectionTable(
      UpstreamTransport transport, ConnectionMetrics metrics, long seed, long keepAliveNanos) {
    this.transport = transport;
    this.metrics = metrics;
    random = new SplittableRandom(seed);
    maxIdleNanos = maxIdleNanos(keepAliveNanos);
  }

  /** For how long a connection is kept idle whose other side closes it after the keep-alive. */
  public static long maxIdleNanos(long keepAliveNanos) {
    // A request written to a connection that the other side closes ends as a reset: stay ahead of
    // that by more than a response's way here.
    long margin = Math.max(MIN_KEEP_ALIVE_MARGIN_NANOS, keepAliveNanos / KEEP_ALIVE_MARGIN_DIVISOR);
    return Math.max(keepAliveNanos / 2, keepAliveNanos - margin);
  }

  /** Follows a new budget; idle connections beyond it are closed. */
  public void applyBudget(DescriptorBudget budget) {
    maxOpen = budget.upstreams();
    maxOpenPerUpstream = budget.perUpstream();
    boolean closedOne = true;
    while (open > maxOpen && closedOne) {
      closedOne = closeLongestIdle(null);
    }
  }

  /**
   * An archive server that was listed: one run of it at one address.
   *
   * @param slowStart whether it has just begun, and is known to be slow at first
   */
  public Upstream createUpstream(Object address, boolean slowStart) {
    return new Upstream(this, transport, new ConnectBackoff(random), address, slowStart);
  }

  /** Closes connections that were idle for as long as they may. */
  public void closeExpired(long nowNanos) {
    while (!idle.isEmpty()) {
      UpstreamConnection longestIdle = idle.iterator().next();
      if (nowNanos - longestIdle.stateSinceNanos() <= maxIdleNanos) {
        return;
      }
      longestIdle.upstream().close(longestIdle);
    }
  }

  /** Closes the connection that was idle for longest; false if there is none of another server. */
  private boolean closeLongestIdle(Upstream except) {
    for (UpstreamConnection connection : idle) {
      if (connection.upstream() != except) {
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

  /** Makes room for one more connection of this server; false if there is none. */
  boolean makeRoom(Upstream upstream) {
    return !isFull() || closeLongestIdle(upstream);
  }

  void connecting() {
    open++;
    metrics.upstreamsOpen.set(open);
    metrics.upstreamConnects.incrementAndGet();
  }

  void connected(long durationNanos) {
    connectTime.add(durationNanos);
  }

  void connectFailed() {
    metrics.upstreamConnectFailures.incrementAndGet();
  }

  /** An open connection was taken over. */
  void adopted() {
    open++;
  }

  void reused() {
    metrics.upstreamReuses.incrementAndGet();
  }

  void responded(long durationNanos, boolean first) {
    (first ? firstResponseTime : laterResponseTime).add(durationNanos);
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

  /** What a new connection costs in time, compared with one that is open. */
  double newConnectionCostNanos() {
    double firstResponseExtra =
        laterResponseTime.nanos() == 0
            ? 0
            : Math.max(0, firstResponseTime.nanos() - laterResponseTime.nanos());
    return connectTime.nanos() + firstResponseExtra;
  }
}

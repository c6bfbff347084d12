package edgegateway.node.connections;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Connection pool of one archive server instance: an archive server between two restarts, at one
 * address. It gives an attempt an idle connection, the next released connection, a new connection,
 * or none. All times are nanoseconds of the same clock. Not thread-safe.
 */
public final class Upstream {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int MAX_CONCURRENT_CONNECTS = 4;

  /** Applies while the server is in slow start, suspected, or failing to accept connections. */
  private static final int MAX_CONCURRENT_CONNECTS_CAUTIOUS = 1;

  /** Upper bound of the waiting attempts for each connection that is in use or connecting. */
  private static final int MAX_WAITERS_PER_CONNECTION = 4;

  private static final long MIN_RECHECK_DELAY_NANOS = NANOS_PER_MILLI;

  private final UpstreamConnectionTable table;
  private final UpstreamTransport transport;
  private final Object address;

  /** Whether the server started recently and has not responded yet. */
  private boolean slowStart;

  /** Most recently used first. */
  private final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>();

  private final Set<UpstreamConnection> inUse = new LinkedHashSet<>();
  private final ArrayDeque<ConnectionWaiter> waiters = new ArrayDeque<>();
  private int connecting;

  private long lastResponseAtNanos = Long.MIN_VALUE;

  /**
   * Whether an attempt or a connect timed out and the server has not responded since that attempt
   * or connect began: idle connections may be dead.
   */
  private boolean suspected;

  private boolean retired;
  private boolean recheckScheduled;
  private final ConnectBackoff backoff;
  private final LearnedConnectionLimit learnedLimit = new LearnedConnectionLimit();

  /** Time from assigning a connection to an attempt until its response. */
  private final MovingAverage averageUseTime = new MovingAverage();

  Upstream(
      UpstreamConnectionTable table,
      UpstreamTransport transport,
      ConnectBackoff backoff,
      Object address,
      boolean slowStart) {
    this.table = table;
    this.transport = transport;
    this.backoff = backoff;
    this.address = address;
    this.slowStart = slowStart;
  }

  /** The server's address, as passed to {@link UpstreamConnectionTable#createUpstream}. */
  public Object address() {
    return address;
  }

  /** Whether the server was removed, is terminating, has moved or has restarted. */
  public boolean isRetired() {
    return retired;
  }

  /** The number of connections that are open or connecting. */
  public int connectionCount() {
    return idle.size() + inUse.size() + connecting;
  }

  /**
   * Gives the waiter a connection, immediately or as soon as one is available, or reports that none
   * is available.
   */
  public void acquire(long nowNanos, ConnectionWaiter waiter) {
    UpstreamConnection ready = suspected ? null : idle.peek();
    if (ready != null) {
      assign(ready, waiter, nowNanos);
    } else if (retired) {
      waiter.noConnection(true);
    } else {
      waiters.add(waiter);
      connectIfNeeded(nowNanos);
    }
  }

  /** Removes a waiter that no longer needs a connection; returns false if it was not waiting. */
  public boolean cancel(ConnectionWaiter waiter) {
    return waiters.remove(waiter);
  }

  /**
   * Opens connections for the waiters, except for as many waiters as are likely to get a released
   * connection sooner. Rejects waiters if no connection is expected at all, and those over {@link
   * #MAX_WAITERS_PER_CONNECTION}.
   */
  public void connectIfNeeded(long nowNanos) {
    recheckScheduled = false;
    while (!waiters.isEmpty()) {
      int expectedReleases = suspected ? 0 : countExpectedReleases(nowNanos);
      if (waiters.size() <= connecting + expectedReleases) {
        if (expectedReleases > 0) {
          scheduleRecheck();
        }
        return;
      }
      if (!connect(nowNanos)) {
        break;
      }
    }
    if (connecting == 0 && (suspected || inUse.isEmpty())) {
      failWaiters(nowNanos, table.isFull());
    }
    while (waiters.size() > MAX_WAITERS_PER_CONNECTION * (inUse.size() + connecting)) {
      waiters.pollLast().noConnection(true);
    }
  }

  /** Checks again later, since a connection may not be released as early as expected. */
  private void scheduleRecheck() {
    if (!recheckScheduled) {
      recheckScheduled = true;
      long delayNanos = Math.max(MIN_RECHECK_DELAY_NANOS, (long) table.newConnectionCostNanos());
      transport.scheduleRecheck(this, delayNanos);
    }
  }

  /** The number of connections likely to be released before a new one would be usable. */
  private int countExpectedReleases(long nowNanos) {
    double averageNanos = averageUseTime.nanos();
    int count = 0;
    for (UpstreamConnection connection : inUse) {
      double remainingNanos = averageNanos - (nowNanos - connection.stateSinceNanos());
      // In use for twice the average time: it may stay in use for much longer.
      boolean overdue = remainingNanos <= -averageNanos;
      if (remainingNanos < table.newConnectionCostNanos() && !overdue) {
        count++;
      }
    }
    return count;
  }

  /** Starts connecting one more connection; returns false if that is not allowed now. */
  private boolean connect(long nowNanos) {
    boolean cautious = slowStart || suspected || backoff.isFailing();
    int maxConcurrent = cautious ? MAX_CONCURRENT_CONNECTS_CAUTIOUS : MAX_CONCURRENT_CONNECTS;
    if (!backoff.allowsConnect(nowNanos) || connecting >= maxConcurrent) {
      return false;
    }
    int maxOpen = Math.min(table.maxOpenPerUpstream(), learnedLimit.current(nowNanos));
    if (connectionCount() >= maxOpen) {
      return false;
    }
    if (!table.ensureCapacity(this)) {
      return false;
    }
    connecting++;
    table.connecting();
    transport.connect(new UpstreamConnection(this, nowNanos));
    return true;
  }

  private void failWaiters(long nowNanos, boolean localCause) {
    if (!waiters.isEmpty() && !idle.isEmpty()) {
      // An idle connection that may be dead is better than none.
      assign(idle.peek(), waiters.poll(), nowNanos);
    }
    rejectAllWaiters(localCause);
  }

  private void rejectAllWaiters(boolean localCause) {
    for (ConnectionWaiter next = waiters.poll(); next != null; next = waiters.poll()) {
      next.noConnection(localCause);
    }
  }

  /** Adds a connection that was opened elsewhere, as idle. */
  public UpstreamConnection adopt(long nowNanos) {
    UpstreamConnection connection = new UpstreamConnection(this, nowNanos);
    table.adopted();
    makeIdle(connection, nowNanos);
    return connection;
  }

  /** Rejects all waiters and closes the idle connections. */
  public void rejectWaitersAndCloseIdle() {
    closeIdle();
    rejectAllWaiters(true);
  }

  /**
   * Ends the use of a server that was removed, is terminating, has moved or has restarted: rejects
   * all waiters and closes the idle connections. Those in use are closed when they are released.
   */
  public void retire() {
    retired = true;
    rejectWaitersAndCloseIdle();
  }

  private void closeIdle() {
    for (UpstreamConnection connection : List.copyOf(idle)) {
      close(connection);
    }
  }

  /** Removes a connection from the pool and closes its transport. */
  void close(UpstreamConnection connection) {
    remove(connection);
    connection.transport().close();
  }

  void connected(UpstreamConnection connection, long nowNanos) {
    connecting--;
    backoff.connected();
    table.connected(nowNanos - connection.stateSinceNanos());
    assignOrMakeIdle(connection, nowNanos);
    connectIfNeeded(nowNanos);
  }

  void connectFailed(UpstreamConnection connection, long nowNanos, ConnectFailure failure) {
    table.connectFailed();
    remove(connection);
    if (failure == ConnectFailure.NO_DESCRIPTOR) {
      backoff.descriptorsExhausted(nowNanos);
      failWaiters(nowNanos, true);
      return;
    }
    backoff.connectFailed(nowNanos);
    int established = idle.size() + inUse.size();
    if (suspected) {
      // The server is unreachable, so its idle connections are dead too.
      closeIdle();
    } else if (failure == ConnectFailure.UNRESPONSIVE) {
      suspected = lastResponseAtNanos < connection.stateSinceNanos();
    } else if (established > 0) {
      // The server has open connections but refuses another one, so it is at its limit: the waiters
      // get the open connections.
      learnedLimit.connectRefused(established, nowNanos);
      connectIfNeeded(nowNanos);
      return;
    }
    ConnectionWaiter first = waiters.poll();
    if (first != null) {
      first.noConnection(false);
    }
    connectIfNeeded(nowNanos);
  }

  void released(UpstreamConnection connection, long nowNanos) {
    inUse.remove(connection);
    assignOrMakeIdle(connection, nowNanos);
  }

  void responseReceived(
      UpstreamConnection connection, long nowNanos, boolean first, boolean reusable) {
    long durationNanos = nowNanos - connection.stateSinceNanos();
    lastResponseAtNanos = nowNanos;
    suspected = false;
    slowStart = false;
    averageUseTime.add(durationNanos);
    table.responded(durationNanos, first);
    if (reusable) {
      released(connection, nowNanos);
      connectIfNeeded(nowNanos);
    } else {
      closed(connection, nowNanos);
    }
  }

  void timedOut(UpstreamConnection connection) {
    if (lastResponseAtNanos < connection.stateSinceNanos()) {
      suspected = true;
    }
  }

  /** Removes a closed connection, and opens a new one if waiters need it. */
  void closed(UpstreamConnection connection, long nowNanos) {
    remove(connection);
    connectIfNeeded(nowNanos);
  }

  /** Gives an unused connection to the first waiter, or makes it idle if there is none. */
  private void assignOrMakeIdle(UpstreamConnection connection, long nowNanos) {
    if (retired) {
      close(connection);
      return;
    }
    ConnectionWaiter next = waiters.poll();
    if (next == null) {
      makeIdle(connection, nowNanos);
    } else {
      assign(connection, next, nowNanos);
    }
  }

  private void assign(UpstreamConnection connection, ConnectionWaiter waiter, long nowNanos) {
    removeIdle(connection);
    if (connection.hasResponded()) {
      table.reused();
    }
    connection.markInUse(nowNanos);
    inUse.add(connection);
    waiter.connectionReady(connection);
  }

  private void makeIdle(UpstreamConnection connection, long nowNanos) {
    connection.markIdle(nowNanos);
    idle.push(connection);
    table.becameIdle(connection);
  }

  private void removeIdle(UpstreamConnection connection) {
    idle.remove(connection);
    table.noLongerIdle(connection);
  }

  private void remove(UpstreamConnection connection) {
    if (connection.isConnecting()) {
      connecting--;
    }
    connection.markClosed();
    removeIdle(connection);
    inUse.remove(connection);
    table.closed();
  }
}

package edgegateway.node.connections;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Connection pool of one run of an archive server at one address: gives an attempt an idle
 * connection, the next one that is released, a new one, or none. Times are nanoseconds of one
 * clock. For one thread.
 */
public final class Upstream {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int MAX_CONNECTING = 4;

  /** To a server in slow start, failing or suspected. */
  private static final int MAX_CONNECTING_CAREFULLY = 1;

  /** Attempts that wait here for each connection in use or connecting. */
  private static final int MAX_WAITING_PER_CONNECTION = 4;

  private static final long MIN_RECHECK_NANOS = NANOS_PER_MILLI;

  private final UpstreamConnectionTable table;
  private final UpstreamTransport transport;
  private final Object address;

  /** It has just begun, and has not responded yet. */
  private boolean slowStart;

  /** The one used last comes first. */
  private final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>();

  private final Set<UpstreamConnection> inUse = new LinkedHashSet<>();
  private final ArrayDeque<ConnectionWaiter> waiting = new ArrayDeque<>();
  private int connecting;

  private long lastResponseAtNanos = Long.MIN_VALUE;

  /** An attempt timed out, and no response came since it was sent: idle connections may be dead. */
  private boolean suspected;

  private boolean retired;
  private boolean recheckScheduled;
  private final ConnectBackoff backoff;
  private final LearnedConnectionLimit learnedLimit = new LearnedConnectionLimit();

  /** From when a connection is given to an attempt to its response. */
  private final MovingAverage useTime = new MovingAverage();

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

  /** Where it is; of the type that was given to the table. */
  public Object address() {
    return address;
  }

  /** Whether it was removed, terminates, has moved or has restarted. */
  public boolean isRetired() {
    return retired;
  }

  /** Connections that are open or connecting. */
  public int connectionCount() {
    return idle.size() + inUse.size() + connecting;
  }

  /**
   * Gives the waiter a connection, now or as soon as there is one, or tells it that there is none.
   */
  public void acquire(long nowNanos, ConnectionWaiter waiter) {
    UpstreamConnection ready = suspected ? null : idle.peek();
    if (ready != null) {
      assign(ready, waiter, nowNanos);
    } else if (retired) {
      waiter.noConnection(true);
    } else {
      waiting.add(waiter);
      connectIfNeeded(nowNanos);
    }
  }

  /** The waiter needs no connection any more; false if it was not waiting. */
  public boolean cancel(ConnectionWaiter waiter) {
    return waiting.remove(waiter);
  }

  /** Opens connections for those that wait, as far as none will be released for them sooner. */
  public void connectIfNeeded(long nowNanos) {
    recheckScheduled = false;
    while (!waiting.isEmpty()) {
      int soonReleased = suspected ? 0 : countSoonReleased(nowNanos);
      if (waiting.size() <= connecting + soonReleased) {
        if (soonReleased > 0) {
          scheduleRecheck();
        }
        return;
      }
      if (!connect(nowNanos)) {
        break;
      }
    }
    if (connecting == 0 && (suspected || inUse.isEmpty())) {
      giveUpWaiting(nowNanos, table.isFull());
    }
    while (waiting.size() > MAX_WAITING_PER_CONNECTION * (inUse.size() + connecting)) {
      waiting.pollLast().noConnection(true);
    }
  }

  /** A connection that is expected soon may not be released then after all. */
  private void scheduleRecheck() {
    if (!recheckScheduled) {
      recheckScheduled = true;
      long delayNanos = Math.max(MIN_RECHECK_NANOS, (long) table.newConnectionCostNanos());
      transport.scheduleRecheck(this, delayNanos);
    }
  }

  /** How many connections are likely to be released sooner than a new one could be used. */
  private int countSoonReleased(long nowNanos) {
    double usualNanos = useTime.nanos();
    int count = 0;
    for (UpstreamConnection connection : inUse) {
      double leftNanos = usualNanos - (nowNanos - connection.stateSinceNanos());
      // One that is long overdue may stay so for long.
      boolean overdue = leftNanos <= -usualNanos;
      if (leftNanos < table.newConnectionCostNanos() && !overdue) {
        count++;
      }
    }
    return count;
  }

  /** Begins to connect once more; false if that is not allowed now. */
  private boolean connect(long nowNanos) {
    boolean careful = slowStart || suspected || backoff.isFailing();
    int maxConnecting = careful ? MAX_CONNECTING_CAREFULLY : MAX_CONNECTING;
    if (!backoff.allowsConnect(nowNanos) || connecting >= maxConnecting) {
      return false;
    }
    int maxOpen = Math.min(table.maxOpenPerUpstream(), learnedLimit.current(nowNanos));
    if (connectionCount() >= maxOpen) {
      return false;
    }
    if (!table.makeRoom(this)) {
      return false;
    }
    connecting++;
    table.connecting();
    transport.connect(new UpstreamConnection(this, nowNanos));
    return true;
  }

  private void giveUpWaiting(long nowNanos, boolean localCause) {
    if (!waiting.isEmpty() && !idle.isEmpty()) {
      // A suspected connection is better than none.
      assign(idle.peek(), waiting.poll(), nowNanos);
    }
    rejectAllWaiting(localCause);
  }

  private void rejectAllWaiting(boolean localCause) {
    for (ConnectionWaiter next = waiting.poll(); next != null; next = waiting.poll()) {
      next.noConnection(localCause);
    }
  }

  /** Takes over an open connection; it is idle. */
  public UpstreamConnection adopt(long nowNanos) {
    UpstreamConnection connection = new UpstreamConnection(this, nowNanos);
    table.adopted();
    makeIdle(connection, nowNanos);
    return connection;
  }

  /** What waits is sent to it no more, and its idle connections are closed. */
  public void rejectWaitersAndCloseIdle() {
    closeIdle();
    rejectAllWaiting(true);
  }

  /**
   * It was removed, terminates, has moved or has restarted: its connections are of no more use, and
   * those in use are closed when they are released.
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

  /** Closes a connection from this side. */
  void close(UpstreamConnection connection) {
    remove(connection);
    connection.transport().close();
  }

  void connected(UpstreamConnection connection, long nowNanos) {
    connecting--;
    backoff.connected();
    table.connected(nowNanos - connection.stateSinceNanos());
    reassign(connection, nowNanos);
    connectIfNeeded(nowNanos);
  }

  void connectFailed(UpstreamConnection connection, long nowNanos, ConnectFailure failure) {
    table.connectFailed();
    remove(connection);
    if (failure == ConnectFailure.NO_DESCRIPTOR) {
      backoff.descriptorsExhausted(nowNanos);
      giveUpWaiting(nowNanos, true);
      return;
    }
    backoff.connectFailed(nowNanos);
    int established = idle.size() + inUse.size();
    if (suspected) {
      // It can't be reached: what is idle is dead.
      closeIdle();
    } else if (failure == ConnectFailure.UNRESPONSIVE) {
      suspected = lastResponseAtNanos < connection.stateSinceNanos();
    } else if (established > 0) {
      // It serves on others, so it has no room for one more: what waits has these.
      learnedLimit.refusedBeyond(established, nowNanos);
      connectIfNeeded(nowNanos);
      return;
    }
    ConnectionWaiter first = waiting.poll();
    if (first != null) {
      first.noConnection(false);
    }
    connectIfNeeded(nowNanos);
  }

  void released(UpstreamConnection connection, long nowNanos) {
    inUse.remove(connection);
    reassign(connection, nowNanos);
  }

  void responseReceived(
      UpstreamConnection connection, long nowNanos, boolean first, boolean reusable) {
    long durationNanos = nowNanos - connection.stateSinceNanos();
    lastResponseAtNanos = nowNanos;
    suspected = false;
    slowStart = false;
    useTime.add(durationNanos);
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

  /** What waits may need another connection now. */
  void closed(UpstreamConnection connection, long nowNanos) {
    remove(connection);
    connectIfNeeded(nowNanos);
  }

  /** A connection that is not in use goes to the first that waits, or becomes idle. */
  private void reassign(UpstreamConnection connection, long nowNanos) {
    if (retired) {
      close(connection);
      return;
    }
    ConnectionWaiter next = waiting.poll();
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

package edgegateway.node.connections;

import edgegateway.node.connections.ClientConnection.State;
import edgegateway.node.connections.ConnectionMetrics.CloseReason;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The table of clients' connections. It decides which connections are accepted, which are evicted
 * to free capacity, and which have timed out ({@link ClientTimeouts}). It does no I/O: sessions
 * report socket events to their {@link ClientConnection}, and the table closes sockets through
 * {@link TransportHandle}. Used on the event loop's thread only; times are nanoseconds of one
 * clock.
 *
 * <p>Up to its capacity the table accepts every connection. Beyond that, peer addresses get max-min
 * fair shares: the peer with the most connections loses the connection that has waited for a
 * request the longest, and a new connection of that peer is accepted only to have its request
 * rejected.
 */
public final class ClientConnectionTable {
  /** How long new connections keep arriving after a drain began. */
  public static final long DRAIN_GRACE_NANOS = ClientTimeouts.DRAIN_GRACE_NANOS;

  /**
   * Connections evicted in one step. Before the next step the sockets are read, so that a request
   * that has already arrived cancels the eviction.
   */
  private static final int MAX_EVICTIONS_PER_STEP = 4;

  /** Connections accepted over capacity may take this fraction (1/n) of the rejection slots. */
  private static final int REJECTION_SLOTS_DIVISOR = 3;

  /** Schedules the table's evictions on the event loop. */
  public interface EvictionScheduler {
    /** Calls {@link ClientConnectionTable#evictSelected} after the sockets have been read. */
    void scheduleEvictions();
  }

  private final EvictionScheduler evictionScheduler;
  private final ConnectionMetrics metrics;
  private final ClientCapacity capacity = new ClientCapacity();
  private final ClientTimeouts timeouts = new ClientTimeouts();
  private final ClientPeers peers = new ClientPeers();
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  /** Connections accepted over capacity, the longest waiting first. */
  private final Set<ClientConnection> overCapacity = new LinkedHashSet<>();

  /** Connections to evict in the next steps, unless a request arrives before. */
  private final Set<ClientConnection> selectedForEviction = new LinkedHashSet<>();

  /**
   * Connections whose last response was written and that only await the client's close, the longest
   * waiting first.
   */
  private final Set<ClientConnection> lingering = new LinkedHashSet<>();

  /** Extra connections over the capacity, for the time of an eviction or a rejection. */
  private int rejectionSlots;

  private boolean draining;
  private boolean evictionScheduled;

  /** Creates an empty table whose capacity is 0 until {@link #applyBudget}. */
  public ClientConnectionTable(EvictionScheduler evictionScheduler, ConnectionMetrics metrics) {
    this.evictionScheduler = evictionScheduler;
    this.metrics = metrics;
  }

  /** Applies a new budget; connections that exceed it are closed as they become idle. */
  public void applyBudget(long nowNanos, DescriptorBudget budget) {
    capacity.setBudgeted(budget.clients());
    rejectionSlots = budget.rejectionSlots();
    timeouts.setIdleTimeoutNanos(budget.idleTimeoutNanos());
    evictOverCapacity(nowNanos);
  }

  /** Whether no connection can be accepted, not even to have its request rejected. */
  public boolean isFull() {
    return connections.size() >= capacity.connections() + rejectionSlots;
  }

  /** The number of open connections. */
  public int openCount() {
    return connections.size();
  }

  /**
   * Reports that the process has no file descriptor left although the budget allows more
   * connections. For some time the capacity is lowered below the current number of connections.
   *
   * @return false if the capacity was already lowered for that reason
   */
  public boolean descriptorsExhausted(long nowNanos) {
    metrics.descriptorsExhausted.incrementAndGet();
    boolean first = capacity.descriptorsExhausted(nowNanos, connections.size());
    evictOverCapacity(nowNanos);
    return first;
  }

  /**
   * Adds a connection that the listening socket accepted.
   *
   * @return null if the table is full; the caller then closes the connection
   */
  public ClientConnection accept(
      long nowNanos, SocketAddress remoteAddress, boolean tls, TransportHandle transport) {
    if (isFull() && !lingering.isEmpty()) {
      lingering.iterator().next().closeLingering();
    }
    PeerConnections peer = peers.at(remoteAddress);
    boolean withinCapacity =
        countedConnections() < capacity.connections() || evictFor(nowNanos, peer);
    boolean rejected = !withinCapacity && peer.count() >= peers.maxConnectionCount();
    if (rejected && !freeRejectionSlot() || isFull()) {
      peers.removeIfEmpty(peer);
      metrics.rejected.incrementAndGet();
      return null;
    }
    ClientConnection connection =
        new ClientConnection(this, peer, transport, tls, rejected, nowNanos);
    peer.connectionAdded();
    connections.add(connection);
    metrics.clientsOpen.set(connections.size());
    if (rejected) {
      overCapacity.add(connection);
      metrics.rejected.incrementAndGet();
    }
    return connection;
  }

  /**
   * Closes the next few connections that are selected for eviction. Called by the {@link
   * EvictionScheduler}.
   */
  public void evictSelected(long nowNanos) {
    evictionScheduled = false;
    int closed = 0;
    Iterator<ClientConnection> selected = selectedForEviction.iterator();
    while (closed < MAX_EVICTIONS_PER_STEP && selected.hasNext()) {
      ClientConnection connection = selected.next();
      selected.remove();
      CloseReason reason = connection.evictionReason();
      connection.setEvictionReason(null);
      if (reason != CloseReason.DRAINED || draining && connection.isIdle()) {
        connection.close(reason);
        closed++;
      }
    }
    evictOverCapacity(nowNanos);
    if (!selectedForEviction.isEmpty()) {
      scheduleEvictions();
    }
  }

  /** Starts or ends a drain, during which connections without a request time out sooner. */
  public void setDraining(boolean draining) {
    this.draining = draining;
    timeouts.setDraining(draining);
  }

  /** Evicts all idle connections, a few per step. Called at the end of a drain's grace period. */
  public void closeIdleConnections() {
    for (ClientConnection connection : connections) {
      if (connection.isIdle()
          && !connection.isSelectedForEviction()
          && !connection.isOverCapacity()) {
        selectForEviction(connection, CloseReason.DRAINED);
      }
    }
  }

  /** Closes connections that have timed out; called about every 0.2 s. */
  public void enforceTimeouts(long nowNanos) {
    capacity.recover(nowNanos);
    for (ClientConnection connection : new ArrayList<>(connections)) {
      CloseReason expired = timeouts.expired(connection, nowNanos);
      if (expired != null) {
        connection.close(expired);
      }
    }
    evictOverCapacity(nowNanos);
  }

  ConnectionMetrics metrics() {
    return metrics;
  }

  /** Called when a request arrived on a connection before its eviction. */
  void evictionCancelled(ClientConnection connection) {
    selectedForEviction.remove(connection);
  }

  /** Called when a connection awaits only the client's close: it no longer takes capacity. */
  void lingering(ClientConnection connection) {
    overCapacity.remove(connection);
    lingering.add(connection);
  }

  /** Called when the socket of a connection is closed. */
  void removed(ClientConnection connection) {
    connections.remove(connection);
    connection.peer().connectionRemoved(connection);
    overCapacity.remove(connection);
    lingering.remove(connection);
    peers.removeIfEmpty(connection.peer());
    metrics.clientsOpen.set(connections.size());
  }

  /** Whether the table is over capacity and no peer has more connections than this peer. */
  boolean isOverCapacityBy(PeerConnections peer) {
    return countedConnections() > capacity.connections()
        && peer.count() >= peers.maxConnectionCount();
  }

  /** The number of connections that count against the capacity. */
  private int countedConnections() {
    return connections.size() - overCapacity.size() - selectedForEviction.size() - lingering.size();
  }

  /**
   * Makes sure that a connection may be accepted over capacity. If all slots for such connections
   * are taken, closes the one that has waited longest without a request; returns false if there is
   * none.
   */
  private boolean freeRejectionSlot() {
    if (overCapacity.size() < Math.max(1, rejectionSlots / REJECTION_SLOTS_DIVISOR)) {
      return true;
    }
    for (ClientConnection connection : overCapacity) {
      if (connection.state() != State.IN_FLIGHT
          && connection.state() != State.CLOSING
          && !connection.hasUnwrittenResponse()) {
        connection.close(CloseReason.OVER_CAPACITY);
        return true;
      }
    }
    return false;
  }

  /** Selects a connection to evict for a new connection of a peer; returns false if none can be. */
  private boolean evictFor(long nowNanos, PeerConnections newcomer) {
    ClientConnection selected = peers.selectForEviction(nowNanos, newcomer);
    if (selected != null) {
      selectForEviction(selected, CloseReason.EVICTED);
    }
    return selected != null;
  }

  private void evictOverCapacity(long nowNanos) {
    while (countedConnections() > capacity.connections()) {
      ClientConnection selected = peers.selectForEviction(nowNanos, null);
      if (selected == null) {
        return;
      }
      selectForEviction(selected, CloseReason.EVICTED);
    }
  }

  private void selectForEviction(ClientConnection connection, CloseReason reason) {
    connection.setEvictionReason(reason);
    selectedForEviction.add(connection);
    scheduleEvictions();
  }

  /** Schedules the next eviction step unless one is scheduled already. */
  private void scheduleEvictions() {
    if (!evictionScheduled) {
      evictionScheduled = true;
      evictionScheduler.scheduleEvictions();
    }
  }
}

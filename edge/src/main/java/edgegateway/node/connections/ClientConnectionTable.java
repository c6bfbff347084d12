package edgegateway.node.connections;

import edgegateway.node.connections.ClientConnection.State;
import edgegateway.node.connections.ConnectionMetrics.CloseReason;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The table of clients' connections: which are accepted, which are evicted to make room, and which
 * have timed out ({@link ClientTimeouts}). It does no I/O: sessions report what happens on their
 * sockets to their {@link ClientConnection}, and the table closes sockets through {@link
 * TransportHandle}. For the event loop's thread; times are nanoseconds of one clock.
 *
 * <p>Up to its capacity the table accepts every connection. Beyond it, places are shared max-min
 * among peer addresses: the peer with the most connections gives up the one that has been idle
 * longest, and a new connection of that peer is accepted only to have its request rejected.
 */
public final class ClientConnectionTable {
  /** How long connections keep arriving in a drain. */
  public static final long DRAIN_GRACE_NANOS = ClientTimeouts.DRAIN_GRACE_NANOS;

  /** Evictions at once; what the others have sent is read before their turn comes. */
  private static final int MAX_EVICTIONS_PER_STEP = 4;

  /** The part of the rejection slots that connections awaiting their rejection may take. */
  private static final int REJECTION_SLOTS_DIVISOR = 3;

  /** Runs evictions on behalf of the table. */
  public interface EvictionScheduler {
    /** Has {@link ClientConnectionTable#evictSelected} called once the sockets were read again. */
    void scheduleEvictions();
  }

  private final EvictionScheduler evictionScheduler;
  private final ConnectionMetrics metrics;
  private final ClientCapacity capacity = new ClientCapacity();
  private final ClientTimeouts timeouts = new ClientTimeouts();
  private final ClientPeers peers = new ClientPeers();
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  /** Accepted over capacity, the longest waiting first. */
  private final Set<ClientConnection> overCapacity = new LinkedHashSet<>();

  /** Evicted when their turn comes, unless a request arrives before that. */
  private final Set<ClientConnection> selectedForEviction = new LinkedHashSet<>();

  /** The last response is written and only the client's close is awaited, the longest first. */
  private final Set<ClientConnection> lingering = new LinkedHashSet<>();

  /** Connections beyond capacity, while room is made or a rejection is written. */
  private int rejectionSlots;

  private boolean draining;
  private boolean evictionScheduled;

  /** Has no capacity until {@link #applyBudget}. */
  public ClientConnectionTable(EvictionScheduler evictionScheduler, ConnectionMetrics metrics) {
    this.evictionScheduler = evictionScheduler;
    this.metrics = metrics;
  }

  /** Applies a new budget; connections beyond it are closed as they become idle. */
  public void applyBudget(long now, DescriptorBudget budget) {
    capacity.setBudgeted(budget.clients());
    rejectionSlots = budget.rejectionSlots();
    timeouts.setIdleNanos(budget.idleTimeoutNanos());
    evictOverCapacity(now);
  }

  /** Whether no further connection is accepted, not even to have its request rejected. */
  public boolean isFull() {
    return connections.size() >= capacity.connections() + rejectionSlots;
  }

  /** How many are open. */
  public int openCount() {
    return connections.size();
  }

  /**
   * The process has no descriptor left, whatever the budget says: for a while the table keeps below
   * the present number. False if it did so already.
   */
  public boolean descriptorsExhausted(long now) {
    metrics.descriptorsExhausted.incrementAndGet();
    boolean first = capacity.descriptorsExhausted(now, connections.size());
    evictOverCapacity(now);
    return first;
  }

  /**
   * Adds a connection that the socket accepted.
   *
   * @return null if the table is full, and the connection is to be closed
   */
  public ClientConnection accept(
      long now, SocketAddress remoteAddress, boolean tls, TransportHandle transport) {
    if (isFull() && !lingering.isEmpty()) {
      lingering.iterator().next().closeLingering();
    }
    PeerConnections peer = peers.at(remoteAddress);
    boolean hasPlace = occupiedPlaces() < capacity.connections() || evictFor(now, peer);
    boolean rejected = !hasPlace && peer.count() >= peers.largestCount();
    if (rejected && !freeRejectionSlot() || isFull()) {
      peers.removeIfEmpty(peer);
      metrics.rejected.incrementAndGet();
      return null;
    }
    ClientConnection connection = new ClientConnection(this, peer, transport, tls, rejected, now);
    peer.connectionAdded();
    connections.add(connection);
    metrics.clientsOpen.set(connections.size());
    if (rejected) {
      overCapacity.add(connection);
      metrics.rejected.incrementAndGet();
    }
    return connection;
  }

  /** Closes some of those selected for eviction; called as the {@link EvictionScheduler} says. */
  public void evictSelected(long now) {
    evictionScheduled = false;
    int closed = 0;
    Iterator<ClientConnection> next = selectedForEviction.iterator();
    while (closed < MAX_EVICTIONS_PER_STEP && next.hasNext()) {
      ClientConnection connection = next.next();
      next.remove();
      CloseReason reason = connection.evictionReason();
      connection.setEvictionReason(null);
      if (reason != CloseReason.DRAINED || draining && connection.isIdle()) {
        connection.close(reason);
        closed++;
      }
    }
    evictOverCapacity(now);
    if (!selectedForEviction.isEmpty()) {
      scheduleEvictions();
    }
  }

  /** Begins or ends a drain, in which connections without a request time out sooner. */
  public void setDraining(boolean draining) {
    this.draining = draining;
    timeouts.setDraining(draining);
  }

  /** The grace time of a drain is over: all idle connections are evicted, some at a time. */
  public void closeIdleConnections() {
    for (ClientConnection connection : connections) {
      if (connection.isIdle()
          && !connection.isSelectedForEviction()
          && !connection.isOverCapacity()) {
        selectForEviction(connection, CloseReason.DRAINED);
      }
    }
  }

  /** Closes connections that timed out; called about every 0.2 s. */
  public void enforceTimeouts(long now) {
    capacity.recover(now);
    for (ClientConnection connection : new ArrayList<>(connections)) {
      CloseReason expired = timeouts.expired(connection, now);
      if (expired != null) {
        connection.close(expired);
      }
    }
    evictOverCapacity(now);
  }

  ConnectionMetrics metrics() {
    return metrics;
  }

  /** A request arrived on a connection before its eviction. */
  void evictionCancelled(ClientConnection connection) {
    selectedForEviction.remove(connection);
  }

  /** A connection waits for the client's close only: its place is free for others. */
  void lingering(ClientConnection connection) {
    overCapacity.remove(connection);
    lingering.add(connection);
  }

  /** A connection's socket is closed. */
  void removed(ClientConnection connection) {
    connections.remove(connection);
    connection.peer().connectionRemoved(connection);
    overCapacity.remove(connection);
    lingering.remove(connection);
    peers.removeIfEmpty(connection.peer());
    metrics.clientsOpen.set(connections.size());
  }

  /** Whether the table is over capacity, and no peer has more connections than this one. */
  boolean isOverCapacityBy(PeerConnections peer) {
    return occupiedPlaces() > capacity.connections() && peer.count() >= peers.largestCount();
  }

  /** Connections that have a place and keep it for now. */
  private int occupiedPlaces() {
    return connections.size() - overCapacity.size() - selectedForEviction.size() - lingering.size();
  }

  /**
   * Whether a connection may be accepted to have its request rejected. If all slots for that are
   * taken, the one that has waited longest for its request is closed.
   */
  private boolean freeRejectionSlot() {
    if (overCapacity.size() < Math.max(1, rejectionSlots / REJECTION_SLOTS_DIVISOR)) {
      return true;
    }
    for (ClientConnection connection : overCapacity) {
      if (connection.state() != State.IN_FLIGHT && connection.state() != State.CLOSING) {
        connection.close(CloseReason.OVER_CAPACITY);
        return true;
      }
    }
    return false;
  }

  /** Selects a connection to be evicted for a new one of this peer; false if there is none. */
  private boolean evictFor(long now, PeerConnections newcomer) {
    ClientConnection selected = peers.selectForEviction(now, newcomer);
    if (selected != null) {
      selectForEviction(selected, CloseReason.EVICTED);
    }
    return selected != null;
  }

  private void evictOverCapacity(long now) {
    while (occupiedPlaces() > capacity.connections()) {
      ClientConnection selected = peers.selectForEviction(now, null);
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

  /** Schedules once, however many are selected: the sockets are read between two steps. */
  private void scheduleEvictions() {
    if (!evictionScheduled) {
      evictionScheduled = true;
      evictionScheduler.scheduleEvictions();
    }
  }
}

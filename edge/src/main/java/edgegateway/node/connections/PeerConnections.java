package edgegateway.node.connections;

import java.util.LinkedHashSet;
import java.util.Set;

/** The connections of one client peer address. */
final class PeerConnections {
  private final Object address;
  private int count;

  /** Connections without a complete request head, the longest waiting first. */
  private final Set<ClientConnection> evictable = new LinkedHashSet<>();

  PeerConnections(Object address) {
    this.address = address;
  }

  Object address() {
    return address;
  }

  int count() {
    return count;
  }

  void connectionAdded() {
    count++;
  }

  void connectionRemoved(ClientConnection connection) {
    evictable.remove(connection);
    count--;
  }

  /** Adds a connection at the end of those that may be evicted, or moves it there. */
  void setEvictable(ClientConnection connection) {
    evictable.remove(connection);
    evictable.add(connection);
  }

  void setNotEvictable(ClientConnection connection) {
    evictable.remove(connection);
  }

  /**
   * The connection that has waited for a request the longest, among those not yet selected for
   * eviction; null if there is none, or if it has not waited long enough to be evicted.
   */
  ClientConnection longestWaiting(long nowNanos) {
    for (ClientConnection connection : evictable) {
      if (!connection.isSelectedForEviction()) {
        boolean waitedLongEnough =
            connection.waitedNanos(nowNanos) >= ClientTimeouts.MIN_IDLE_NANOS;
        return waitedLongEnough ? connection : null;
      }
    }
    return null;
  }
}

package edgegateway.node.connections;

import java.util.LinkedHashSet;
import java.util.Set;

/** The connections of one peer address. */
final class PeerConnections {
  private final Object address;
  private int count;

  /** Those without a complete request, the longest waiting first. */
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

  /** Puts a connection last among those that may be evicted. */
  void setEvictable(ClientConnection connection) {
    evictable.remove(connection);
    evictable.add(connection);
  }

  void setNotEvictable(ClientConnection connection) {
    evictable.remove(connection);
  }

  /**
   * The connection that has been without a request for longest, of those not selected for eviction
   * yet; null if there is none, or if that is too short a time to close it.
   */
  ClientConnection longestIdle(long now) {
    for (ClientConnection connection : evictable) {
      if (!connection.isSelectedForEviction()) {
        boolean idleLongEnough = connection.waitedNanos(now) >= ClientTimeouts.MIN_IDLE_NANOS;
        return idleLongEnough ? connection : null;
      }
    }
    return null;
  }
}

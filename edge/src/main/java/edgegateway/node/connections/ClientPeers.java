package edgegateway.node.connections;

import java.net.Inet6Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;

/** The client peers that have connections, by address; selects the connection to evict. */
final class ClientPeers {
  private static final int IPV6_NETWORK_BYTES = 8;

  /** The key of peers without an IP address. */
  private static final String NO_ADDRESS = "";

  private final Map<Object, PeerConnections> peers = new HashMap<>();

  /** The peer of an address; created if it has no connections yet. */
  PeerConnections at(SocketAddress address) {
    return peers.computeIfAbsent(peerKey(address), PeerConnections::new);
  }

  /** Removes a peer that has no connections left. */
  void removeIfEmpty(PeerConnections peer) {
    if (peer.count() == 0) {
      peers.remove(peer.address());
    }
  }

  /** The number of connections of the peer that has the most. */
  int maxConnectionCount() {
    int max = 0;
    for (PeerConnections peer : peers.values()) {
      max = Math.max(max, peer.count());
    }
    return max;
  }

  /**
   * Selects the connection that has waited for a request the longest, of the peer that has the most
   * connections among peers with a connection that has waited long enough; null if there is no such
   * peer.
   *
   * @param newcomer the peer that needs capacity: only its own connections and those of peers that
   *     have more connections are considered; null to consider all peers
   */
  ClientConnection selectForEviction(long nowNanos, PeerConnections newcomer) {
    ClientConnection selected = null;
    for (PeerConnections peer : peers.values()) {
      boolean eligible = newcomer == null || peer == newcomer || peer.count() > newcomer.count();
      if (eligible && (selected == null || peer.count() > selected.peer().count())) {
        ClientConnection longestWaiting = peer.longestWaiting(nowNanos);
        selected = longestWaiting != null ? longestWaiting : selected;
      }
    }
    return selected;
  }

  /** A /64 IPv6 network is one peer, because a client can use any number of addresses in it. */
  private static Object peerKey(SocketAddress address) {
    InetAddress ip = address instanceof InetSocketAddress inet ? inet.getAddress() : null;
    if (ip instanceof Inet6Address) {
      return ByteBuffer.wrap(ip.getAddress(), 0, IPV6_NETWORK_BYTES);
    }
    return ip == null ? NO_ADDRESS : ip;
  }
}

package edgegateway.node.connections;

import java.net.Inet6Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;

/** The peers that have connections, by address, and which of them has to give one up. */
final class ClientPeers {
  private static final int IPV6_NETWORK_BYTES = 8;

  /** The key of peers without an IP address. */
  private static final String NO_ADDRESS = "";

  private final Map<Object, PeerConnections> peers = new HashMap<>();

  /** The peer at an address, added if it has no connections yet. */
  PeerConnections at(SocketAddress address) {
    return peers.computeIfAbsent(peerKey(address), PeerConnections::new);
  }

  /** Forgets a peer that has no connections left. */
  void removeIfEmpty(PeerConnections peer) {
    if (peer.count() == 0) {
      peers.remove(peer.address());
    }
  }

  /** The most connections that any peer has. */
  int largestCount() {
    int largest = 0;
    for (PeerConnections peer : peers.values()) {
      largest = Math.max(largest, peer.count());
    }
    return largest;
  }

  /**
   * The connection that the peer with the most connections gives up; null if no peer has one that
   * has been idle for long enough.
   *
   * @param newcomer the peer it is given up for: one of its own, or of a peer that has more; null
   *     if any peer may give one up
   */
  ClientConnection selectForEviction(long now, PeerConnections newcomer) {
    ClientConnection selected = null;
    for (PeerConnections peer : peers.values()) {
      boolean eligible = newcomer == null || peer == newcomer || peer.count() > newcomer.count();
      if (eligible && (selected == null || peer.count() > selected.peer().count())) {
        ClientConnection longestIdle = peer.longestIdle(now);
        selected = longestIdle != null ? longestIdle : selected;
      }
    }
    return selected;
  }

  /** An IPv6 network of 64 bits is one peer: further addresses in it cost nothing. */
  private static Object peerKey(SocketAddress address) {
    InetAddress ip = address instanceof InetSocketAddress inet ? inet.getAddress() : null;
    if (ip instanceof Inet6Address) {
      return ByteBuffer.wrap(ip.getAddress(), 0, IPV6_NETWORK_BYTES);
    }
    return ip == null ? NO_ADDRESS : ip;
  }
}

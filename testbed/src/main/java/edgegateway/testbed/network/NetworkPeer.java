package edgegateway.testbed.network;

/**
 * Whoever speaks over the lab's network.
 *
 * @param name unique in a fleet, such as {@code n3} or {@code counter}
 * @param zone where it stands
 * @param region the zone's region
 * @param role what it is
 */
public record NetworkPeer(String name, String zone, String region, Role role) {
  /** What a party is. */
  public enum Role {
    /** An edge node. */
    NODE,
    /** An archive server. */
    SERVER,
    /** Anything else: the front, the counter, discovery. */
    OTHER
  }
}

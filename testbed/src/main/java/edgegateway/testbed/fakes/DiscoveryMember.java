package edgegateway.testbed.fakes;

/**
 * An archive server as discovery lists it.
 *
 * @param id the same at every edge node
 * @param address where the one edge node that is told reaches it, {@code host:port}
 * @param locality its zone
 * @param flavor its machine kind
 * @param cell its group
 * @param size its registered size
 * @param upSince its last start in Unix milliseconds; 0 means long ago
 */
public record DiscoveryMember(
    String id,
    String address,
    String locality,
    String flavor,
    int cell,
    Phase phase,
    double size,
    long upSince) {
  /** What discovery knows of a process. */
  public enum Phase {
    /** It runs. */
    READY,
    /** It finishes what it has and wants nothing new. */
    TERMINATING,
    /** It is off the list; only among changes. */
    GONE
  }
}

package edgegateway.testbed.fleet;

import edgegateway.testbed.network.NetworkPeer;
import edgegateway.testbed.network.NetworkPeer.Role;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Who there is and where.
 *
 * @param zones the zones' names, as the settings number them
 * @param nodes the edge nodes, as the settings number them
 * @param servers the archive servers
 * @param front where clients come from
 * @param counter the shared counter
 * @param discovery where discovery stands; each node's agent is on its own machine
 */
public record Topology(
    List<String> zones,
    List<NetworkPeer> nodes,
    List<NetworkPeer> servers,
    NetworkPeer front,
    NetworkPeer counter,
    NetworkPeer discovery) {
  private static final String REGION = "region";
  private static final String OUTSIDE = "outside";

  /**
   * So many nodes and servers spread evenly over zones of one region; the counter stands in the
   * first zone.
   */
  public static Topology even(List<String> zones, int nodes, int servers) {
    return even(zones, nodes, servers, Map.of(REGION, zones));
  }

  /** The same over several regions; each of {@code zones} is in one of them. */
  public static Topology even(
      List<String> zones, int nodes, int servers, Map<String, List<String>> regions) {
    Map<String, String> regionOf = new HashMap<>();
    regions.forEach((region, its) -> its.forEach(zone -> regionOf.put(zone, region)));
    return new Topology(
        zones,
        spread("n", nodes, zones, regionOf, Role.NODE),
        spread("s", servers, zones, regionOf, Role.SERVER),
        new NetworkPeer("front", OUTSIDE, OUTSIDE, Role.OTHER),
        new NetworkPeer("counter", zones.get(0), regionOf.get(zones.get(0)), Role.OTHER),
        new NetworkPeer("discovery", OUTSIDE, OUTSIDE, Role.OTHER));
  }

  private static List<NetworkPeer> spread(
      String prefix, int count, List<String> zones, Map<String, String> regionOf, Role role) {
    List<NetworkPeer> all = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String zone = zones.get(i % zones.size());
      all.add(new NetworkPeer(prefix + i, zone, regionOf.get(zone), role));
    }
    return all;
  }
}

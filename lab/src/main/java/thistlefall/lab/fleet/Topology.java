package thistlefall.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import thistlefall.lab.net.Party;
import thistlefall.lab.net.Party.Role;

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
public record Topology(List<String> zones, List<Party> nodes, List<Party> servers, Party front, Party counter,
                       Party discovery) {
    /** So many nodes and servers spread evenly over zones of one region; the counter stands in the first zone. */
    public static Topology even(List<String> zones, int nodes, int servers) {
        return new Topology(zones, spread("n", nodes, zones, Role.NODE), spread("s", servers, zones, Role.SERVER), new Party("front", "outside", "outside", Role.OTHER),
            new Party("counter", zones.get(0), "region", Role.OTHER), new Party("discovery", "outside", "outside", Role.OTHER));
    }

    private static List<Party> spread(String prefix, int count, List<String> zones, Role role) {
        List<Party> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(new Party(prefix + i, zones.get(i % zones.size()), "region", role));
        }
        return all;
    }
}

package edgegateway.node;

import edgegateway.node.config.NodeConfig;
import edgegateway.node.operators.EjectionFile;
import edgegateway.node.upstream.UpstreamPool;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Synchronizes operators' ejections between the two processes of an upgrade. The policy of each
 * process holds them; two files, one for endpoints and one for zones, transfer them to the other
 * process and to a later one. Used on the event loop's thread only.
 */
final class OperatorEjections {
  private static final String ENDPOINTS_FILE = "left-out";
  private static final String ZONES_FILE = "zones-out";

  private final PolicyEventLoop policyEvents;
  private final UpstreamPool upstreamPool;
  private final Supplier<NodeConfig> config;
  private final EjectionFile endpointsFile;
  private final EjectionFile zonesFile;

  /**
   * Creates an instance; this neither reads nor writes a file.
   *
   * @param config the configuration in use
   * @param folder folder of the two files; null if nothing is to outlive the process
   */
  OperatorEjections(
      PolicyEventLoop policyEvents,
      UpstreamPool upstreamPool,
      Supplier<NodeConfig> config,
      Path folder) {
    this.policyEvents = policyEvents;
    this.upstreamPool = upstreamPool;
    this.config = config;
    endpointsFile = new EjectionFile(folder, ENDPOINTS_FILE);
    zonesFile = new EjectionFile(folder, ZONES_FILE);
  }

  /** Applies the files if another process of this node, running or earlier, has changed them. */
  void applyFileChanges() {
    Set<String> endpoints = endpointsFile.readIfChanged();
    if (endpoints != null) {
      policyEvents.run((policy, now) -> policy.restoreEjectedEndpoints(now, endpoints));
      endpoints.forEach(upstreamPool::endpointEjected);
    }
    Set<String> zones = zonesFile.readIfChanged();
    if (zones != null) {
      Set<Integer> indexes = indexesOf(zones);
      policyEvents.run((policy, now) -> policy.restoreEjectedZones(now, indexes));
    }
  }

  /** The indexes of the named zones; a zone that the settings do not name is ignored. */
  private Set<Integer> indexesOf(Set<String> zones) {
    List<String> zoneNames = config.get().names().zones();
    Set<Integer> indexes = new HashSet<>();
    for (String zone : zones) {
      int index = zoneNames.indexOf(zone);
      if (index >= 0) {
        indexes.add(index);
      }
    }
    return indexes;
  }

  /** Writes the endpoints that operators have ejected to the file. */
  void writeEndpoints() throws IOException {
    endpointsFile.write(policyEvents.policy().operatorEjectedEndpoints());
  }

  /** Writes the zones that operators have ejected to the file. */
  void writeZones() throws IOException {
    List<String> zoneNames = config.get().names().zones();
    Set<String> names = new HashSet<>();
    for (int zone : policyEvents.policy().operatorEjectedZones()) {
      names.add(zoneNames.get(zone));
    }
    zonesFile.write(names);
  }
}

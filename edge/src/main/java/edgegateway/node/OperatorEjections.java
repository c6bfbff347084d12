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
 * Keeps what operators ejected the same in the two processes of an upgrade: the policy holds it,
 * two files carry it to the other process. For the event loop's thread.
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
   * Reads and writes nothing yet.
   *
   * @param folder null where nothing outlives the process
   * @param config the configuration that is followed now
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

  /** Applies ejections that another process of this node, or an earlier one, wrote. */
  void readChanges() {
    Set<String> endpoints = endpointsFile.readIfChanged();
    if (endpoints != null) {
      policyEvents.run((policy, now) -> policy.restoreEjectedEndpoints(now, endpoints));
      endpoints.forEach(upstreamPool::endpointEjected);
    }
    Set<String> zones = zonesFile.readIfChanged();
    if (zones != null) {
      Set<Integer> indices = indicesOf(zones);
      policyEvents.run((policy, now) -> policy.restoreEjectedZones(now, indices));
    }
  }

  /** Zones that the settings do not name are passed over. */
  private Set<Integer> indicesOf(Set<String> zones) {
    List<String> zoneNames = config.get().names().zones();
    Set<Integer> indices = new HashSet<>();
    for (String zone : zones) {
      int index = zoneNames.indexOf(zone);
      if (index >= 0) {
        indices.add(index);
      }
    }
    return indices;
  }

  /** On return the ejected endpoints are on file. */
  void writeEndpoints() throws IOException {
    endpointsFile.write(policyEvents.policy().operatorEjectedEndpoints());
  }

  /** On return the ejected zones are on file. */
  void writeZones() throws IOException {
    List<String> zoneNames = config.get().names().zones();
    Set<String> names = new HashSet<>();
    for (int zone : policyEvents.policy().operatorEjectedZones()) {
      names.add(zoneNames.get(zone));
    }
    zonesFile.write(names);
  }
}

package edgegateway.node;

import edgegateway.node.config.NodeConfig;
import edgegateway.node.operators.EjectionFile;
import edgegateway.node.operators.EjectionStore;
import edgegateway.node.upstream.UpstreamPool;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Synchronizes operators' ejections between the two processes of an upgrade. The policy of each
 * process holds them; two files, one for endpoints and one for zones, transfer each command to the
 * other process and to a later one. Used on the event loop's thread only.
 */
final class OperatorEjections {
  private static final String ENDPOINTS_FILE = "left-out";
  private static final String ZONES_FILE = "zones-out";
  private static final long FILE_THREAD_IDLE_SECONDS = 1;

  private final PolicyEventLoop policyEvents;
  private final UpstreamPool upstreamPool;
  private final Supplier<NodeConfig> config;
  private final EjectionStore endpoints;
  private final EjectionStore zones;

  /**
   * Creates an instance; this neither reads nor writes a file.
   *
   * @param config the configuration in use
   * @param folder folder of the two files; null if nothing is to outlive the process
   */
  OperatorEjections(
      Executor eventLoop,
      PolicyEventLoop policyEvents,
      UpstreamPool upstreamPool,
      Supplier<NodeConfig> config,
      Path folder) {
    this.policyEvents = policyEvents;
    this.upstreamPool = upstreamPool;
    this.config = config;
    Executor fileThread = newFileThread();
    EjectionFile endpointsFile = new EjectionFile(folder, ENDPOINTS_FILE);
    endpoints = new EjectionStore(endpointsFile, "endpoints", fileThread, eventLoop);
    EjectionFile zonesFile = new EjectionFile(folder, ZONES_FILE);
    zones = new EjectionStore(zonesFile, "zones", fileThread, eventLoop);
  }

  /** Creates an executor whose only thread exists while it has work. */
  private static Executor newFileThread() {
    return new ThreadPoolExecutor(
        0,
        1,
        FILE_THREAD_IDLE_SECONDS,
        TimeUnit.SECONDS,
        new LinkedBlockingQueue<>(),
        new DefaultThreadFactory("operator-ejections", true));
  }

  /** Applies the files if they have changed, by another process of this node, too. */
  void applyFileChanges() {
    Set<String> ejectedEndpoints = endpoints.readIfChanged();
    if (ejectedEndpoints != null) {
      policyEvents.run((policy, now) -> policy.restoreEjectedEndpoints(now, ejectedEndpoints));
      ejectedEndpoints.forEach(upstreamPool::endpointEjected);
    }
    Set<String> ejectedZones = zones.readIfChanged();
    if (ejectedZones != null) {
      Set<Integer> indexes = indexesOf(ejectedZones);
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

  /**
   * Stores a command about an endpoint that the policy has carried out.
   *
   * @return completes on the event loop, exceptionally if the command was not stored
   */
  CompletableFuture<Void> storeEndpoint(String endpointId, boolean ejected) {
    return endpoints.store(endpointId, ejected);
  }

  /** Stores a command about a zone that the policy has carried out; see {@link #storeEndpoint}. */
  CompletableFuture<Void> storeZone(String zone, boolean ejected) {
    return zones.store(zone, ejected);
  }

  /** Whether the endpoint is ejected as far as the other process and a later one know. */
  boolean isEndpointStoredAsEjected(String endpointId) {
    return endpoints.isStoredAsEjected(endpointId);
  }

  /** See {@link #isEndpointStoredAsEjected}. */
  boolean isZoneStoredAsEjected(String zone) {
    return zones.isStoredAsEjected(zone);
  }
}

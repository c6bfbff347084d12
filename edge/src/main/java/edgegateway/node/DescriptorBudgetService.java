package edgegateway.node;

import edgegateway.node.clients.ClientHttpServer;
import edgegateway.node.config.NodeConfig;
import edgegateway.node.connections.BufferedBodies;
import edgegateway.node.connections.DescriptorBudget;
import edgegateway.node.requests.BodyRelay;
import edgegateway.node.upgrade.ProcessSlots;
import edgegateway.node.upstream.UpstreamPool;
import java.util.function.Supplier;

/**
 * Divides the node's file descriptors and memory among its processes, and this process's share
 * among clients, upstream connections and bodies. Allocation runs on the event loop's thread only.
 */
final class DescriptorBudgetService {
  private static final int PROCESSES_IN_UPGRADE = 2;

  private final Supplier<NodeConfig> config;
  private final ProcessSlots slots;
  private final UpstreamPool upstreamPool;
  private final ClientHttpServer clients;
  private final BufferedBodies bufferedBodies;
  private final BodyRelay.Group relays;
  private volatile DescriptorBudget current;

  DescriptorBudgetService(
      Supplier<NodeConfig> config,
      ProcessSlots slots,
      UpstreamPool upstreamPool,
      ClientHttpServer clients,
      BufferedBodies bufferedBodies,
      BodyRelay.Group relays) {
    this.config = config;
    this.slots = slots;
    this.upstreamPool = upstreamPool;
    this.clients = clients;
    this.bufferedBodies = bufferedBodies;
    this.relays = relays;
  }

  /** Allocates all descriptors to this process, as if it were the only one of this node. */
  DescriptorBudget allocateForSingleProcess() {
    return allocate(1);
  }

  /** Allocates the descriptors according to the number of running processes of this node. */
  void allocate() {
    allocate(slots.isOtherProcessAlive() ? PROCESSES_IN_UPGRADE : 1);
  }

  private DescriptorBudget allocate(int processes) {
    NodeConfig currentConfig = config.get();
    DescriptorBudget budget =
        DescriptorBudget.of(
            currentConfig.connections(),
            currentConfig.maxDescriptors(),
            currentConfig.memoryBytes(),
            processes,
            upstreamPool.endpointCount());
    current = budget;
    clients.applyBudget(budget);
    upstreamPool.applyBudget(budget);
    bufferedBodies.applyBudget(budget);
    relays.limitTo(DescriptorBudget.maxRelayBytes(currentConfig.memoryBytes(), processes));
    return budget;
  }

  /** The budget in effect. May be called on any thread. */
  DescriptorBudget current() {
    return current;
  }
}

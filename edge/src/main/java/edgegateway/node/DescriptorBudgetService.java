package edgegateway.node;

import edgegateway.node.clients.ClientHttpServer;
import edgegateway.node.config.NodeConfig;
import edgegateway.node.connections.BufferedBodies;
import edgegateway.node.connections.DescriptorBudget;
import edgegateway.node.upgrade.ProcessSlots;
import edgegateway.node.upstream.UpstreamPool;
import java.util.function.Supplier;

/**
 * Keeps to this process's part of the file descriptors, which all processes of this node hold
 * together. It is shared out on the event loop's thread only.
 */
final class DescriptorBudgetService {
  private static final int PROCESSES_IN_UPGRADE = 2;

  private final Supplier<NodeConfig> config;
  private final ProcessSlots slots;
  private final UpstreamPool upstreamPool;
  private final ClientHttpServer clients;
  private final BufferedBodies bufferedBodies;
  private volatile DescriptorBudget current;

  DescriptorBudgetService(
      Supplier<NodeConfig> config,
      ProcessSlots slots,
      UpstreamPool upstreamPool,
      ClientHttpServer clients,
      BufferedBodies bufferedBodies) {
    this.config = config;
    this.slots = slots;
    this.upstreamPool = upstreamPool;
    this.clients = clients;
    this.bufferedBodies = bufferedBodies;
  }

  /** Shares the descriptors out as if no other process of this node lived. */
  DescriptorBudget allocateForSingleProcess() {
    return allocate(1);
  }

  /** Shares the descriptors out among the processes of this node that live now. */
  void allocate() {
    allocate(slots.isOtherProcessAlive() ? PROCESSES_IN_UPGRADE : 1);
  }

  private DescriptorBudget allocate(int processes) {
    NodeConfig now = config.get();
    DescriptorBudget budget =
        DescriptorBudget.of(
            now.connections(), now.maxDescriptors(), processes, upstreamPool.endpointCount());
    current = budget;
    clients.applyBudget(budget);
    upstreamPool.applyBudget(budget);
    bufferedBodies.applyBudget(budget);
    return budget;
  }

  /** How the descriptors are shared out now; any thread. */
  DescriptorBudget current() {
    return current;
  }
}

package edgegateway.node;

import edgegateway.node.clients.ClientHttpServer;
import edgegateway.node.config.InvalidConfigException;
import edgegateway.node.config.NodeConfig;
import edgegateway.node.config.NodeConfigParser;
import edgegateway.node.connections.BufferedBodies;
import edgegateway.node.connections.ConnectionMetrics;
import edgegateway.node.connections.DescriptorBudget;
import edgegateway.node.counter.CounterClient;
import edgegateway.node.discovery.DiscoveryClient;
import edgegateway.node.lifecycle.EventLoopStallDetector;
import edgegateway.node.metrics.NodeMetrics;
import edgegateway.node.operators.OperatorCommands;
import edgegateway.node.requests.BodyRelay;
import edgegateway.node.upgrade.HandoverFile;
import edgegateway.node.upgrade.ProcessSlots;
import edgegateway.node.upgrade.RecentRequestIds;
import edgegateway.node.upstream.UpstreamPool;
import edgegateway.policy.GatewayPolicy;
import edgegateway.policy.api.EndpointListKind;
import edgegateway.policy.api.StateTransfer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * An edge node: wires its components together and controls their start, upgrade and shutdown. All
 * components of a node run on one event loop thread and therefore need no locks. A process normally
 * runs one node with its own event loop; in scale tests many nodes share the event loops of one
 * process.
 */
public final class EdgeNode implements NodeHealth, AutoCloseable {
  /** Interval at which the endpoint metrics and the files of other processes are checked. */
  private static final long REFRESH_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private static final long HANDOVER_POLL_MILLIS = 5;

  /** How long the new process of an upgrade waits for the state of the old one. */
  private static final long HANDOVER_TIMEOUT_MILLIS = 10_000;

  /** The event loop that all components of this node run on. */
  public final EventLoop loop;

  final NodeMetrics metrics;
  final UpstreamPool upstreamPool;
  final ClientHttpServer clients;
  final ProcessSlots slots;

  /** Null if the event loop is shared with other nodes. */
  private final EventLoopGroup ownLoops;

  private final CounterClient counter;
  private final DiscoveryClient discovery;
  private final PolicyEventLoop policyEvents;
  private final InFlightRequestTable requests;
  private final NodePolicyActions policyActions;
  private final EndpointListUpdater endpointLists;
  private final ZoneEjectionService zoneEjection;
  private final OperatorEjections ejections;
  private final OperatorCommandService operatorCommands;
  private final DescriptorBudgetService budget;
  private final HandoverFile handoverFile;
  private final RecentRequestIds recentIds;

  /** The configuration in use; replaced on the event loop. */
  private volatile NodeConfig config;

  /** Whether the health check may succeed; in an upgrade true from the first connection on. */
  private volatile boolean admitted;

  /** Whether this process has been declared ready for clients by {@link #admit}. */
  private volatile boolean takingClients;

  /**
   * Creates a node with its own event loop. It listens and connects only after its start.
   *
   * @param folder folder of the files that outlive the process; null if nothing outlives it
   */
  public EdgeNode(NodeConfig config, Path folder) throws IOException {
    this(config, folder, new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()), null);
  }

  /**
   * Creates a node on an event loop that it shares with other nodes. None of its state outlives the
   * process, and closing the node does not stop the event loop.
   *
   * @param configuration text of the configuration, as the file that {@code GW_CONFIG} names
   * @throws IllegalArgumentException with a single-line message that names the key, if the
   *     configuration is invalid
   */
  public static EdgeNode onSharedLoop(EventLoop loop, String configuration) throws IOException {
    try {
      return new EdgeNode(NodeConfigParser.parse(configuration), null, null, loop);
    } catch (InvalidConfigException e) {
      throw new IllegalArgumentException(e.getMessage(), e);
    }
  }

  private EdgeNode(NodeConfig config, Path folder, EventLoopGroup ownLoops, EventLoop sharedLoop)
      throws IOException {
    this.ownLoops = ownLoops;
    this.config = config;
    loop = ownLoops == null ? sharedLoop : ownLoops.next();
    ConnectionMetrics connectionMetrics = new ConnectionMetrics();
    metrics = new NodeMetrics(config.names().requestClasses(), connectionMetrics);
    BufferedBodies bufferedBodies = new BufferedBodies(connectionMetrics);
    BodyRelay.Group relays = new BodyRelay.Group(loop);
    EventLoopStallDetector stallDetector = new EventLoopStallDetector(System.nanoTime());
    slots = new ProcessSlots(folder);
    handoverFile = new HandoverFile(folder);
    recentIds = new RecentRequestIds(folder, slots);

    policyEvents = new PolicyEventLoop(loop);
    requests = new InFlightRequestTable(policyEvents, metrics, this, recentIds);
    upstreamPool =
        new UpstreamPool(
            requests, loop, config, connectionMetrics, metrics, bufferedBodies, relays);
    zoneEjection = new ZoneEjectionService(loop, policyEvents, metrics);
    counter = new CounterClient(zoneEjection::counterReplied, loop, config);
    policyActions =
        new NodePolicyActions(
            loop, policyEvents, requests, upstreamPool, counter, metrics, stallDetector);
    endpointLists =
        new EndpointListUpdater(policyEvents, upstreamPool, metrics, this::descriptorsExhausted);
    discovery = new DiscoveryClient(endpointLists, metrics, loop, config);
    clients =
        new ClientHttpServer(
            requests, loop, config, connectionMetrics, bufferedBodies, relays, stallDetector);

    Supplier<NodeConfig> currentConfig = this::config;
    budget =
        new DescriptorBudgetService(
            currentConfig, slots, upstreamPool, clients, bufferedBodies, relays);
    ejections = new OperatorEjections(loop, policyEvents, upstreamPool, currentConfig, folder);
    operatorCommands = newOperatorCommands(currentConfig);
    for (String warning : budget.allocateForSingleProcess().clampWarnings()) {
      policyActions.log(warning);
    }
  }

  private OperatorCommandService newOperatorCommands(Supplier<NodeConfig> currentConfig) {
    return new OperatorCommandService(
        loop,
        policyEvents,
        currentConfig,
        this,
        clients,
        upstreamPool,
        ejections,
        zoneEjection,
        budget,
        metrics,
        this::updateMetrics,
        this::descriptorsExhausted);
  }

  private NodeConfig config() {
    return config;
  }

  /**
   * Starts to serve; returns when the listening socket is bound, or when the process ends before
   * that. Servers in the cached endpoint list may have begun to drain, so the node listens only
   * after a first message from discovery or after the wait for it has timed out. Must not be called
   * on the event loop's thread.
   */
  public void start() throws Exception {
    startPolicy();
    startDiscovery();
    clients.bind().get();
  }

  /**
   * Starts to serve beside the old process of an upgrade. The health check succeeds from the first
   * connection on. The policy is created only now, so that its quotas start with its first clients.
   * Must not be called on the event loop's thread.
   */
  void startAsSuccessor() throws Exception {
    handoverFile.discard();
    startPolicy();
    startDiscovery();
    admitted = true;
    clients.bind().get();
    admit();
  }

  /** Returns when a first discovery message has arrived or the wait for it has timed out. */
  private void startDiscovery() throws Exception {
    loop.submit(() -> discovery.start(config.knownEndpoints().revision())).get();
    discovery.initialization().get();
  }

  /**
   * Creates the policy with the cached endpoint list. This alone does not listen or connect. Must
   * not be called on the event loop's thread.
   */
  public void startPolicy() throws Exception {
    loop.submit(this::startPolicyOnLoop).get();
  }

  private void startPolicyOnLoop() {
    GatewayPolicy policy =
        new GatewayPolicy(config.settings(), config.seed(), policyEvents.nowNanos(), policyActions);
    policyEvents.start(policy);
    endpointLists.endpointListReceived(config.knownEndpoints(), EndpointListKind.CACHED);
    refresh();
    loop.scheduleAtFixedRate(
        this::refresh, REFRESH_INTERVAL_NANOS, REFRESH_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
    zoneEjection.start(config, policy, policyActions);
  }

  /**
   * Applies the ejections that another process of this node has written, divides the descriptors
   * among the running processes, and updates the metrics that are read from the policy.
   */
  private void refresh() {
    ejections.applyFileChanges();
    recentIds.openOtherFile();
    budget.allocate();
    updateMetrics();
  }

  private void updateMetrics() {
    metrics.endpointsChanged(
        upstreamPool.endpointCount(), policyEvents.policy().skippedEndpoints().size());
    zoneEjection.updateMetrics();
  }

  /**
   * Waits for the state that the old process of an upgrade writes when SIGTERM ends it, and imports
   * it into the policy. After a timeout, returns without it.
   */
  void importPredecessorState() throws InterruptedException {
    for (long waitedMillis = 0;
        waitedMillis < HANDOVER_TIMEOUT_MILLIS;
        waitedMillis += HANDOVER_POLL_MILLIS) {
      StateTransfer state = handoverFile.read();
      if (state != null) {
        loop.execute(() -> policyEvents.run((policy, now) -> policy.importState(now, state)));
        return;
      }
      Thread.sleep(HANDOVER_POLL_MILLIS);
    }
  }

  /**
   * Declares this process ready for clients, unless it is ending. This has taken effect when the
   * method returns, because the old process of an upgrade may be stopped right after it. Must not
   * be called on the event loop's thread.
   */
  public void admit() {
    loop.submit(
            () -> {
              if (!clients.isStopping()) {
                slots.setAccepting(true);
                admitted = true;
                takingClients = true;
              }
            })
        .syncUninterruptibly();
  }

  /**
   * Answers all accepted requests and stops. Must not be called on the event loop's thread.
   *
   * @return completes when no client connection is open any more
   */
  CompletableFuture<Void> stop() throws Exception {
    CompletableFuture<Void> drained = new CompletableFuture<>();
    StateTransfer state = loop.submit(() -> stopOnLoop(drained)).get();
    // Written on this thread, so that file I/O does not block the event loop, which serves clients.
    if (state != null) {
      handoverFile.write(state);
    }
    return drained;
  }

  /** Returns the state to transfer to the successor; null if there is no successor. */
  private StateTransfer stopOnLoop(CompletableFuture<Void> drained) {
    boolean hasSuccessor = slots.isOtherProcessAccepting();
    slots.setAccepting(false);
    zoneEjection.stopVoting();
    if (policyEvents.policy() != null) {
      requests.stopping(policyEvents.policy().answerByNanosOfStop(policyEvents.nowNanos()));
    }
    clients.stop(drained, hasSuccessor);
    return hasSuccessor ? policyEvents.policy().exportState(policyEvents.nowNanos()) : null;
  }

  /** Whether the process is ending. For any thread. */
  boolean stopping() {
    return clients.isStopping();
  }

  /**
   * Applies a new configuration: the addresses of discovery and of the counter at once, the limits
   * on connections and descriptors at the next refresh. The policy keeps its settings, so the order
   * of the zones' names must not change. May be called on any thread.
   */
  void applyConfiguration(NodeConfig next) {
    loop.execute(
        () -> {
          if (next.counter() != null && !next.counter().equals(config.counter())) {
            counter.changeAddress(next.counter());
          }
          if (!next.discovery().equals(config.discovery())) {
            discovery.changeAddress(next.discovery());
          }
          config = next;
        });
  }

  /** Frees descriptors of client connections, since some component of the node got none. */
  private void descriptorsExhausted() {
    loop.execute(clients::descriptorsExhausted);
  }

  @Override
  public boolean ready() {
    return takingClients && discovery.isInitialized() && !clients.isDraining();
  }

  @Override
  public boolean healthy() {
    return admitted
        && discovery.isInitialized()
        && (!clients.isDraining() || clients.isSuperseded());
  }

  /** The operators' commands of this node. For any thread. */
  public OperatorCommands operatorCommands() {
    return operatorCommands;
  }

  /** The address at which the node accepts clients. */
  public InetSocketAddress address() {
    return clients.address();
  }

  /** The revision of the endpoint list in use. For the event loop's thread only. */
  public long endpointListRevision() {
    return discovery.revision();
  }

  /** The descriptor budget in effect. For any thread. */
  DescriptorBudget budget() {
    return budget.current();
  }

  @Override
  public void close() {
    clients.close();
    if (ownLoops != null) {
      ownLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }
}

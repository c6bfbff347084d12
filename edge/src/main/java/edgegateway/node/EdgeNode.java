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
 * An edge node: wires its parts together and carries it from start to end. All parts run on one
 * event loop thread, so nothing in them is locked. A process has one node with a loop of its own;
 * many nodes may share loops where that is measured.
 */
public final class EdgeNode implements NodeHealth, AutoCloseable {
  /** How often the metrics of endpoints and what another process wrote are looked at. */
  private static final long REFRESH_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private static final long HANDOVER_POLL_MILLIS = 5;

  /** How long the new process of an upgrade waits for what the other one knows. */
  private static final long HANDOVER_TIMEOUT_MILLIS = 10_000;

  /** The loop that all parts of this node run on. */
  public final EventLoop loop;

  final NodeMetrics metrics;
  final UpstreamPool upstreamPool;
  final ClientHttpServer clients;
  final ProcessSlots slots;

  /** Null where the loop is another's. */
  private final EventLoopGroup ownLoops;

  private final CounterClient counter;
  private final DiscoveryClient discovery;
  private final PolicyEventLoop policyEvents;
  private final NodePolicyActions policyActions;
  private final EndpointListUpdater endpointLists;
  private final ZoneEjectionService zoneEjection;
  private final OperatorEjections ejections;
  private final OperatorCommandService operatorCommands;
  private final DescriptorBudgetService budget;
  private final HandoverFile handoverFile;

  /** The configuration that is followed now; replaced on the event loop. */
  private volatile NodeConfig config;

  private volatile boolean admitted;
  private volatile boolean takingClients;

  /**
   * Makes a node with a loop of its own; it listens and connects only once started.
   *
   * @param folder keeps what outlives the process; null if nothing does
   */
  public EdgeNode(NodeConfig config, Path folder) throws IOException {
    this(config, folder, new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()), null);
  }

  /**
   * One of many on a loop that others share; nothing of it outlives the process. It ends with the
   * loop.
   *
   * @param configuration what the file that {@code GW_CONFIG} names would hold
   * @throws IllegalArgumentException with one line that names the key, if it can't be used
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

    policyEvents = new PolicyEventLoop(loop);
    InFlightRequestTable requests = new InFlightRequestTable(policyEvents, metrics, this);
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
        new DescriptorBudgetService(currentConfig, slots, upstreamPool, clients, bufferedBodies);
    ejections = new OperatorEjections(policyEvents, upstreamPool, currentConfig, folder);
    operatorCommands = newOperatorCommands(currentConfig);
    for (String line : budget.allocateForSingleProcess().clamped()) {
      policyActions.log(line);
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
   * Begins to serve; returns when the listening socket is bound, or when the process ends before
   * that. The cached endpoint list may name servers that drain by now, so the node listens only
   * after a first message from discovery, or after having waited for one. Not for the loop's
   * thread.
   */
  public void start() throws Exception {
    startPolicy();
    startDiscovery();
    clients.bind().get();
  }

  /**
   * Begins to serve beside the other process of an upgrade: health says yes from the first
   * connection on, and the policy is made only now, so that its quotas begin when its clients do.
   * Not for the loop's thread.
   */
  void startAsSuccessor() throws Exception {
    handoverFile.discard();
    startPolicy();
    startDiscovery();
    admitted = true;
    clients.bind().get();
    admit();
  }

  /** Returns when discovery was heard, or has been waited for. */
  private void startDiscovery() throws Exception {
    loop.submit(() -> discovery.start(config.knownEndpoints().revision())).get();
    discovery.firstMessage().get();
  }

  /**
   * Makes the policy, with the list as last had; nothing listens or connects by this alone. Not for
   * the loop's thread.
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
   * Applies the ejections that another process of this node wrote, and updates the metrics that
   * only the policy knows.
   */
  private void refresh() {
    ejections.readChanges();
    budget.allocate();
    updateMetrics();
  }

  private void updateMetrics() {
    metrics.endpointsChanged(
        upstreamPool.endpointCount(), policyEvents.policy().skippedEndpoints().size());
    zoneEjection.updateMetrics();
  }

  /**
   * Waits for the state that the other process of an upgrade writes when SIGTERM ends it; returns
   * without it after a time-out.
   */
  void importPredecessorState() throws InterruptedException {
    for (long waited = 0; waited < HANDOVER_TIMEOUT_MILLIS; waited += HANDOVER_POLL_MILLIS) {
      StateTransfer state = handoverFile.read();
      if (state != null) {
        loop.execute(() -> policyEvents.run((policy, now) -> policy.importState(now, state)));
        return;
      }
      Thread.sleep(HANDOVER_POLL_MILLIS);
    }
  }

  /**
   * From now on the front may send here, unless the process ends; not for the loop's thread. Done
   * when this returns: whoever then tells the other process of an upgrade to end counts on it.
   */
  public void admit() {
    loop.submit(
            () -> {
              if (!clients.isStopping()) {
                slots.take(true);
                admitted = true;
                takingClients = true;
              }
            })
        .syncUninterruptibly();
  }

  /**
   * Answers all that was taken and completes when no client's connection is open any more. Not for
   * the loop's thread.
   */
  CompletableFuture<Void> stop() throws Exception {
    CompletableFuture<Void> done = new CompletableFuture<>();
    StateTransfer state = loop.submit(() -> stopOnLoop(done)).get();
    // Written here and not on the loop: that has clients to see to.
    if (state != null) {
      handoverFile.write(state);
    }
    return done;
  }

  /** What the successor is to know; null if there is none. */
  private StateTransfer stopOnLoop(CompletableFuture<Void> done) {
    boolean succeeded = slots.otherTakes();
    slots.take(false);
    zoneEjection.stopVoting();
    clients.stop(done, succeeded);
    return succeeded ? policyEvents.policy().exportState(policyEvents.nowNanos()) : null;
  }

  /** Whether the process ends; any thread. */
  boolean stopping() {
    return clients.isStopping();
  }

  /**
   * Applies a new configuration: the addresses of discovery and of the counter at once, the limits
   * on connections and descriptors at the next refresh. The policy keeps its settings, so the order
   * of the zones' names must not change. Any thread.
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

  /** No descriptor is left, for whatever part of the node: clients give up some of theirs. */
  private void descriptorsExhausted() {
    loop.execute(clients::descriptorsExhausted);
  }

  @Override
  public boolean ready() {
    return takingClients && discovery.hasStarted() && !clients.isDraining();
  }

  @Override
  public boolean healthy() {
    return admitted && discovery.hasStarted() && (!clients.isDraining() || clients.isSuperseded());
  }

  /** What operators can ask of this node; any thread. */
  public OperatorCommands operatorCommands() {
    return operatorCommands;
  }

  /** Where clients connect. */
  public InetSocketAddress address() {
    return clients.address();
  }

  /** The version of the endpoint list that the node goes by; on the loop only. */
  public long endpointListRevision() {
    return discovery.revision();
  }

  /** How the descriptors are shared out now; any thread. */
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

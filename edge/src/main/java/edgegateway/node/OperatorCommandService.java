package edgegateway.node;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.clients.ClientHttpServer;
import edgegateway.node.config.NodeConfig;
import edgegateway.node.logging.EventLog;
import edgegateway.node.metrics.NodeMetrics;
import edgegateway.node.operators.OperatorCommands;
import edgegateway.node.upstream.UpstreamPool;
import edgegateway.policy.GatewayPolicy;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Executes operators' commands on the event loop. Methods that return no future answer on the
 * caller's thread.
 */
final class OperatorCommandService implements OperatorCommands {
  private static final EventLog LOG = EventLog.console();

  private final EventLoop loop;
  private final PolicyEventLoop policyEvents;
  private final Supplier<NodeConfig> config;
  private final NodeHealth health;
  private final ClientHttpServer clients;
  private final UpstreamPool upstreamPool;
  private final OperatorEjections ejections;
  private final ZoneEjectionService zoneEjection;
  private final DescriptorBudgetService budget;
  private final NodeMetrics metrics;
  private final Runnable updateMetrics;
  private final Runnable onDescriptorsExhausted;

  OperatorCommandService(
      EventLoop loop,
      PolicyEventLoop policyEvents,
      Supplier<NodeConfig> config,
      NodeHealth health,
      ClientHttpServer clients,
      UpstreamPool upstreamPool,
      OperatorEjections ejections,
      ZoneEjectionService zoneEjection,
      DescriptorBudgetService budget,
      NodeMetrics metrics,
      Runnable updateMetrics,
      Runnable onDescriptorsExhausted) {
    this.loop = loop;
    this.policyEvents = policyEvents;
    this.config = config;
    this.health = health;
    this.clients = clients;
    this.upstreamPool = upstreamPool;
    this.ejections = ejections;
    this.zoneEjection = zoneEjection;
    this.budget = budget;
    this.metrics = metrics;
    this.updateMetrics = updateMetrics;
    this.onDescriptorsExhausted = onDescriptorsExhausted;
  }

  @Override
  public boolean ready() {
    return health.ready();
  }

  @Override
  public String metricsText() {
    return metrics.render();
  }

  @Override
  public int maxOperatorConnections() {
    return budget.current().operators();
  }

  @Override
  public void descriptorsExhausted() {
    onDescriptorsExhausted.run();
  }

  @Override
  public CompletableFuture<String> drain(boolean on) {
    return runOnLoop(
        () ->
            CompletableFuture.completedFuture(
                clients.setDraining(on) ? null : "this process ends"));
  }

  @Override
  public CompletableFuture<String> setEndpointEjected(String endpointId, boolean ejected) {
    return runOnLoop(() -> ejectOrReadmitEndpoint(endpointId, ejected));
  }

  /** Completes with null on success, otherwise with the reason why the command has failed. */
  private CompletableFuture<String> ejectOrReadmitEndpoint(String endpointId, boolean ejected) {
    boolean[] listed = new boolean[1];
    if (policyEvents.policy() != null) {
      policyEvents.run(
          (policy, now) -> listed[0] = policy.setEndpointEjected(now, endpointId, ejected));
    }
    if (!listed[0]) {
      return CompletableFuture.completedFuture("never listed");
    }
    if (ejected) {
      upstreamPool.endpointEjected(endpointId);
    }
    updateMetrics.run();
    return answerWhenStored(
        ejections.storeEndpoint(endpointId, ejected),
        () -> {
          boolean stored = ejections.isEndpointStoredAsEjected(endpointId);
          policyEvents.run((policy, now) -> policy.setEndpointEjected(now, endpointId, stored));
        });
  }

  /**
   * Answers a command that this process has carried out once the other process of an upgrade, or a
   * later one, will follow it too. A command that fails has no effect.
   *
   * @param undo brings this process back to what is stored
   */
  private CompletableFuture<String> answerWhenStored(
      CompletableFuture<Void> stored, Runnable undo) {
    return stored.handle(
        (none, failure) -> {
          if (failure == null) {
            return null;
          }
          undo.run();
          updateMetrics.run();
          return "could not be stored: " + failure.getMessage();
        });
  }

  @Override
  public CompletableFuture<String> setZoneEjected(String zone, boolean ejected, long rampSeconds) {
    return runOnLoop(() -> ejectOrReadmitZone(zone, ejected, rampSeconds));
  }

  /** Completes with null on success, otherwise with the reason why the command has failed. */
  private CompletableFuture<String> ejectOrReadmitZone(
      String zone, boolean ejected, long rampSeconds) {
    int index = config.get().names().zones().indexOf(zone);
    if (index < 0) {
      return CompletableFuture.completedFuture("no such zone");
    }
    long rampNanos =
        rampSeconds > 0
            ? TimeUnit.SECONDS.toNanos(rampSeconds)
            : config.get().settings().rules().slowStartNanos();
    boolean[] applied = new boolean[1];
    policyEvents.run(
        (policy, now) ->
            applied[0] = policy != null && policy.setZoneEjected(now, index, ejected, rampNanos));
    if (!applied[0]) {
      return CompletableFuture.completedFuture("no server of another zone could be sent to");
    }
    if (ejected) {
      LOG.info("zone_ejected", field("zone", zone), field("by", "operator"));
    } else {
      LOG.info(
          "zone_readmitted",
          field("zone", zone),
          field("by", "operator"),
          field("ramp_s", TimeUnit.NANOSECONDS.toSeconds(rampNanos)));
    }
    updateMetrics.run();
    return answerWhenStored(
        ejections.storeZone(zone, ejected),
        () -> {
          boolean stored = ejections.isZoneStoredAsEjected(zone);
          policyEvents.run((policy, now) -> policy.setZoneEjected(now, index, stored, rampNanos));
        });
  }

  @Override
  public CompletableFuture<String> zoneReport() {
    return runOnLoop(
        () -> {
          ZoneReport report = new ZoneReport(policyEvents.nowNanos());
          List<String> names = config.get().names().zones();
          GatewayPolicy policy = policyEvents.policy();
          for (int zone = 0; policy != null && zone < names.size(); zone++) {
            report.add(names.get(zone), policy.zoneStatus(zone), zoneEjection.decision(zone));
          }
          return CompletableFuture.completedFuture(report.toString());
        });
  }

  private CompletableFuture<String> runOnLoop(Supplier<CompletableFuture<String>> command) {
    return CompletableFuture.supplyAsync(command, loop)
        .thenCompose(Function.identity())
        .whenComplete(
            (answer, failure) -> {
              if (failure != null) {
                LOG.warn("operator_command_failed", field("error", failure));
              }
            });
  }
}

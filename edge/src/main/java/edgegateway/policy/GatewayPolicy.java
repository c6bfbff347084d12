package edgegateway.policy;

import edgegateway.policy.api.AttemptResult;
import edgegateway.policy.api.Endpoint;
import edgegateway.policy.api.EndpointListKind;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.PolicyActions;
import edgegateway.policy.api.PolicyEvents;
import edgegateway.policy.api.PolicySettings;
import edgegateway.policy.api.Request;
import edgegateway.policy.api.StateTransfer;
import edgegateway.policy.api.TrafficRamp;
import edgegateway.policy.api.ZoneHealth;
import edgegateway.policy.api.ZoneStatus;
import edgegateway.policy.control.ClassIntervalStatistics;
import edgegateway.policy.control.ConcurrencyController;
import edgegateway.policy.control.ShareController;
import edgegateway.policy.quota.QuotaManager;
import edgegateway.policy.routing.EjectionResult;
import edgegateway.policy.routing.EndpointRouter;
import edgegateway.policy.scheduling.FairQueue;
import edgegateway.policy.time.Durations;
import edgegateway.policy.time.EventClock;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * All decisions of one node, as a façade: it receives the host's events and orders the calls to the
 * mechanisms, each of which has a package below this one. It holds no rule of its own. The
 * mechanisms follow the Proteus paper; see {@code docs/DECISIONS.md} for where each rule stands.
 *
 * <p>Not thread-safe: all events come from one thread, in the order in which they happen.
 */
public final class GatewayPolicy implements PolicyEvents {
  private static final long CONTROL_INTERVAL_NANOS = Durations.NANOS_PER_SECOND;

  private final PolicySettings settings;
  private final PolicyActions actions;
  private final EventClock clock;
  private final EndpointRouter router;
  private final QuotaManager quotas;
  private final ShareController shares;
  private final ConcurrencyController concurrency;
  private final FairQueue queues;
  private final RequestLifecycle requests;
  private long nextControlNanos;

  /**
   * Creates the policy of a node that starts now.
   *
   * @param settings the settings that the node starts with
   * @param seed the seed of the policy's one source of randomness
   * @param nowNanos the present moment, in nanoseconds of the clock that all events use
   * @param actions what the policy asks of its host
   */
  public GatewayPolicy(PolicySettings settings, long seed, long nowNanos, PolicyActions actions) {
    this.settings = settings;
    this.actions = actions;
    SplittableRandom random = new SplittableRandom(seed);
    clock = new EventClock(nowNanos);
    router = new EndpointRouter(settings, clock, random, actions);
    quotas = new QuotaManager(settings, clock, random, actions, this::counterWaitEnded);
    List<ClassIntervalStatistics> statistics =
        settings.requestClasses().stream().map(ClassIntervalStatistics::new).toList();
    shares = new ShareController(statistics);
    concurrency = new ConcurrencyController(statistics, settings.nodeCount());
    queues = new FairQueue(clock, settings.requestClasses(), statistics, shares);
    requests =
        new RequestLifecycle(settings, clock, random, actions, quotas, router, queues, concurrency);
    nextControlNanos = nowNanos + CONTROL_INTERVAL_NANOS;
    actions.scheduleTimer(0, Durations.TIMER_PERIOD_NANOS);
    if (settings.limits().subscribesToEndpoints()) {
      actions.subscribeToEndpoints();
    }
  }

  @Override
  public void requestReceived(long nowNanos, Request request) {
    clock.set(nowNanos);
    requests.requestReceived(request);
  }

  @Override
  public void requestOverHostCapacity(long nowNanos, Request request) {
    clock.set(nowNanos);
    requests.requestOverHostCapacity(request);
  }

  @Override
  public void attemptEnded(long nowNanos, AttemptResult result) {
    clock.set(nowNanos);
    requests.attemptEnded(result);
  }

  @Override
  public void streamStarted(long nowNanos, String id) {
    clock.set(nowNanos);
  }

  @Override
  public void bodyForwarded(long nowNanos, String id) {
    clock.set(nowNanos);
    requests.bodyForwarded(id);
  }

  @Override
  public void uploadCompleted(long nowNanos, String id) {
    clock.set(nowNanos);
    requests.uploadCompleted(id);
  }

  @Override
  public void clientDisconnected(long nowNanos, String id) {
    clock.set(nowNanos);
    requests.clientDisconnected(id);
  }

  @Override
  public void counterReplied(long nowNanos, long name, Outcome outcome, double total) {
    clock.set(nowNanos);
    quotas.counterReplied(name, outcome, total);
    requests.dispatch();
  }

  private void counterWaitEnded(String requestId, boolean answered) {
    requests.counterWaitEnded(requestId, answered);
  }

  @Override
  public void healthChecked(
      long nowNanos, String id, Outcome outcome, long tookNanos, List<Double> report) {
    clock.set(nowNanos);
    router.healthChecked(id, report);
  }

  @Override
  public void timerFired(long nowNanos, long token) {
    clock.set(nowNanos);
    actions.scheduleTimer(0, Durations.TIMER_PERIOD_NANOS);
    requests.giveUpLate();
    quotas.timerFired();
    if (nowNanos >= nextControlNanos) {
      nextControlNanos += CONTROL_INTERVAL_NANOS;
      endControlInterval();
    }
    requests.dispatch();
  }

  private void endControlInterval() {
    updateCapacity();
    shares.intervalEnded();
    concurrency.intervalEnded();
    queues.resetStatistics();
  }

  @Override
  public void endpointsUpdated(long nowNanos, EndpointListKind kind, List<Endpoint> entries) {
    clock.set(nowNanos);
    if (kind == EndpointListKind.FAILED) {
      actions.subscribeToEndpoints();
    }
    router.endpointsUpdated(kind, entries);
    endpointsChanged();
  }

  /** After each change of the endpoints that may be chosen. */
  private void endpointsChanged() {
    updateCapacity();
    requests.dispatch();
  }

  @Override
  public boolean setEndpointEjected(long nowNanos, String id, boolean ejected) {
    clock.set(nowNanos);
    return applied(router.setEndpointEjected(id, ejected));
  }

  private boolean applied(EjectionResult result) {
    if (result == EjectionResult.CHANGED) {
      endpointsChanged();
    }
    return result != EjectionResult.REJECTED;
  }

  @Override
  public void restoreEjectedEndpoints(long nowNanos, Set<String> ids) {
    clock.set(nowNanos);
    router.restoreEjectedEndpoints(ids);
    endpointsChanged();
  }

  @Override
  public boolean setZoneEjected(long nowNanos, int zone, boolean ejected, long rampNanos) {
    clock.set(nowNanos);
    return applied(router.setZoneEjected(zone, ejected, rampNanos));
  }

  @Override
  public void restoreEjectedZones(long nowNanos, Set<Integer> ejected) {
    clock.set(nowNanos);
    for (int zone : router.zonesEverEjectedByOperator()) {
      if (!ejected.contains(zone)) {
        applied(router.setZoneEjected(zone, false, settings.rules().slowStartNanos()));
      }
    }
    router.ejectZones(ejected);
    endpointsChanged();
  }

  @Override
  public void setZoneRamp(long nowNanos, int zone, TrafficRamp ramp) {
    clock.set(nowNanos);
    router.setZoneRamp(zone, ramp);
    endpointsChanged();
  }

  @Override
  public void probeZone(long nowNanos, int zone) {
    clock.set(nowNanos);
    router.probeZone(zone);
  }

  /** The evidence of this node's attempts in each zone with listed endpoints. */
  public List<ZoneHealth> zoneHealth(long nowNanos) {
    clock.set(nowNanos);
    return router.zoneHealth();
  }

  /** How a zone stands now, as of the last event. */
  public ZoneStatus zoneStatus(int zone) {
    return router.zoneStatus(zone);
  }

  /** The zones that operators have ejected. */
  public Set<Integer> operatorEjectedZones() {
    return router.zonesEjectedByOperator();
  }

  /** The endpoints that operators have ejected, listed or not. */
  public Set<String> operatorEjectedEndpoints() {
    return router.endpointsEjectedByOperator();
  }

  /**
   * The ids of the listed endpoints that get no requests now: ejected by an operator or with their
   * zone, draining, or outliers.
   */
  public List<String> skippedEndpoints() {
    return router.skippedEndpoints();
  }

  /** What the usable endpoints bear sets the concurrency limit, and that the slow start. */
  private void updateCapacity() {
    concurrency.capacityChanged(router.usableCapacity());
    router.capacityChanged(concurrency.effectiveEndpoints());
  }

  @Override
  public StateTransfer exportState(long nowNanos) {
    clock.set(nowNanos);
    return new StateTransfer(
        quotas.counterCallsPerSecond(), queues.averageServiceSeconds(), quotas.exportUsages());
  }

  @Override
  public void importState(long nowNanos, StateTransfer from) {
    clock.set(nowNanos);
    queues.setAverageServiceSeconds(from.serviceTimesSeconds());
    quotas.importUsages(from.counterCallsPerSecond(), from.quotaUsages());
  }
}

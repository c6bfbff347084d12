package edgegateway.policy;

import edgegateway.policy.admission.ShutdownDeadline;
import edgegateway.policy.api.AttemptResult;
import edgegateway.policy.api.Endpoint;
import edgegateway.policy.api.EndpointListKind;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.PolicyActions;
import edgegateway.policy.api.PolicyEvents;
import edgegateway.policy.api.PolicySettings;
import edgegateway.policy.api.Request;
import edgegateway.policy.api.ResponseProgress;
import edgegateway.policy.api.StateTransfer;
import edgegateway.policy.api.TrafficRamp;
import edgegateway.policy.api.ZoneHealth;
import edgegateway.policy.api.ZoneStatus;
import edgegateway.policy.control.ClassIntervalStatistics;
import edgegateway.policy.control.ConcurrencyController;
import edgegateway.policy.control.ShareController;
import edgegateway.policy.quota.QuotaManager;
import edgegateway.policy.retry.LongResponses;
import edgegateway.policy.routing.EjectionResult;
import edgegateway.policy.routing.EndpointRouter;
import edgegateway.policy.scheduling.FairQueue;
import edgegateway.policy.time.Durations;
import edgegateway.policy.time.EventClock;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The policy of one node: a façade that receives the host's events and passes them to the
 * mechanisms in the right order. Each mechanism has a package below this one; this class holds no
 * rule of its own. The mechanisms follow the Proteus paper; {@code docs/DECISIONS.md} tells where
 * each rule is implemented.
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
   * @param seed the seed of the random generator that all mechanisms share
   * @param nowNanos the present time, in nanoseconds of the clock that all events use
   * @param actions carries out what the policy decides
   */
  public GatewayPolicy(PolicySettings settings, long seed, long nowNanos, PolicyActions actions) {
    this.settings = settings;
    this.actions = actions;
    SplittableRandom random = new SplittableRandom(seed);
    clock = new EventClock(nowNanos);
    router = new EndpointRouter(settings, clock, random, actions);
    quotas =
        new QuotaManager(
            settings, clock, random, actions, this::counterWaitEnded, this::customerForgotten);
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
  public void streamStarted(long nowNanos, String requestId) {
    clock.set(nowNanos);
  }

  @Override
  public void bodyForwarded(long nowNanos, String requestId) {
    clock.set(nowNanos);
    requests.bodyForwarded(requestId);
  }

  @Override
  public void uploadCompleted(long nowNanos, String requestId) {
    clock.set(nowNanos);
    requests.uploadCompleted(requestId);
  }

  @Override
  public void clientDisconnected(long nowNanos, String requestId) {
    clock.set(nowNanos);
    requests.clientDisconnected(requestId);
  }

  @Override
  public void counterReplied(long nowNanos, long key, Outcome outcome, double total) {
    clock.set(nowNanos);
    quotas.counterReplied(key, outcome, total);
    requests.dispatch();
  }

  private void customerForgotten(long customer) {
    requests.customerForgotten(customer);
  }

  private void counterWaitEnded(String requestId, boolean answered) {
    requests.counterWaitEnded(requestId, answered);
  }

  @Override
  public void healthChecked(
      long nowNanos,
      String endpointId,
      Outcome outcome,
      long durationNanos,
      List<Double> loadReport) {
    clock.set(nowNanos);
    router.healthChecked(endpointId, loadReport);
  }

  @Override
  public void timerFired(long nowNanos, long token) {
    clock.set(nowNanos);
    actions.scheduleTimer(0, Durations.TIMER_PERIOD_NANOS);
    requests.giveUpExpired();
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

  /** See {@link LongResponses#streamsBuffered}. */
  public static boolean streamsBuffered(ResponseProgress progress, long heldNanos) {
    return LongResponses.streamsBuffered(progress, heldNanos);
  }

  /** See {@link LongResponses#headWaitNanos}. */
  public static long headWaitNanos(long silentNanos, long untilDeadlineNanos) {
    return LongResponses.headWaitNanos(silentNanos, untilDeadlineNanos);
  }

  /** See {@link LongResponses#streamsAtTimeout}. */
  public static boolean streamsAtTimeout(ResponseProgress progress) {
    return LongResponses.streamsAtTimeout(progress);
  }

  /** See {@link LongResponses#goesOnAfterDeadline}. */
  public static boolean goesOnAfterDeadline(ResponseProgress progress, long lateNanos) {
    return LongResponses.goesOnAfterDeadline(progress, lateNanos);
  }

  /** See {@link ShutdownDeadline#answerByNanos}; for a stop that begins now. */
  public long answerByNanosOfStop(long nowNanos) {
    return ShutdownDeadline.answerByNanos(nowNanos, settings.requestClasses());
  }

  /** Updates the limits and sends queued requests after a change of the selectable endpoints. */
  private void endpointsChanged() {
    updateCapacity();
    requests.dispatch();
  }

  @Override
  public boolean setEndpointEjected(long nowNanos, String endpointId, boolean ejected) {
    clock.set(nowNanos);
    return updateAfter(router.setEndpointEjected(endpointId, ejected));
  }

  /** Follows up an operator's command; returns false if it was refused. */
  private boolean updateAfter(EjectionResult result) {
    if (result == EjectionResult.CHANGED) {
      endpointsChanged();
    }
    return result != EjectionResult.REJECTED;
  }

  @Override
  public void restoreEjectedEndpoints(long nowNanos, Set<String> endpointIds) {
    clock.set(nowNanos);
    router.restoreEjectedEndpoints(endpointIds);
    endpointsChanged();
  }

  @Override
  public boolean setZoneEjected(long nowNanos, int zone, boolean ejected, long rampNanos) {
    clock.set(nowNanos);
    return updateAfter(router.setZoneEjected(zone, ejected, rampNanos));
  }

  @Override
  public void restoreEjectedZones(long nowNanos, Set<Integer> zones) {
    clock.set(nowNanos);
    for (int zone : router.zonesEverEjectedByOperator()) {
      if (!zones.contains(zone)) {
        updateAfter(router.setZoneEjected(zone, false, settings.rules().slowStartNanos()));
      }
    }
    router.ejectZones(zones);
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

  /** How this node's attempts fared in each zone with listed endpoints. */
  public List<ZoneHealth> zoneHealth(long nowNanos) {
    clock.set(nowNanos);
    return router.zoneHealth();
  }

  /** The traffic and the endpoints of a zone at the time of the last event. */
  public ZoneStatus zoneStatus(int zone) {
    return router.zoneStatus(zone);
  }

  /** Indexes of the zones that operators have ejected. */
  public Set<Integer> operatorEjectedZones() {
    return router.zonesEjectedByOperator();
  }

  /**
   * Ids of the listed endpoints that get no requests now: ejected by an operator or with their
   * zone, draining, or outliers.
   */
  public List<String> skippedEndpoints() {
    return router.skippedEndpoints();
  }

  /**
   * Sets the concurrency limit from the capacity of the usable endpoints, and passes the resulting
   * number of effective endpoints on to the slow-start limit.
   */
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
  public void importState(long nowNanos, StateTransfer state) {
    clock.set(nowNanos);
    queues.setAverageServiceSeconds(state.serviceTimesSeconds());
    quotas.importUsages(state.counterCallsPerSecond(), state.quotaUsages());
  }
}

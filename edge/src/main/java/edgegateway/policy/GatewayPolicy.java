package edgegateway.policy;

import edgegateway.policy.admission.ConcurrencyCap;
import edgegateway.policy.admission.ConcurrencyCaps;
import edgegateway.policy.api.AttemptResult;
import edgegateway.policy.api.DeduplicationScope;
import edgegateway.policy.api.Endpoint;
import edgegateway.policy.api.EndpointListKind;
import edgegateway.policy.api.Idempotency;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.PolicyActions;
import edgegateway.policy.api.PolicyEvents;
import edgegateway.policy.api.PolicySettings;
import edgegateway.policy.api.QuotaPlan;
import edgegateway.policy.api.QuotaUsage;
import edgegateway.policy.api.Request;
import edgegateway.policy.api.RequestClass;
import edgegateway.policy.api.StateTransfer;
import edgegateway.policy.api.TrafficRamp;
import edgegateway.policy.api.ZoneHealth;
import edgegateway.policy.api.ZoneStatus;
import edgegateway.policy.control.ClassIntervalStatistics;
import edgegateway.policy.control.ConcurrencyController;
import edgegateway.policy.control.ShareController;
import edgegateway.policy.control.Shares;
import edgegateway.policy.quota.QuotaDecision;
import edgegateway.policy.quota.QuotaManager;
import edgegateway.policy.quota.QuotaReservation;
import edgegateway.policy.routing.EjectionResult;
import edgegateway.policy.routing.EndpointRouter;
import edgegateway.policy.routing.EndpointTracker;
import edgegateway.policy.routing.RoutableRequest;
import edgegateway.policy.time.EventClock;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * All decisions of one gateway: quotas, fair queue, controllers, choice of server, attempts, final
 * answers. Its types, events and actions stand in {@code Ports.java}. The mechanism is that of the
 * Proteus paper (see PAPER and DESIGN); each departure says at its place what it guards against.
 */
public final class GatewayPolicy implements PolicyEvents {
  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;
  private static final double NANO = 1e-9;

  /** Housekeeping: fine against the aims, coarse against the CPU bill. */
  private static final long TICK = 10 * MS;

  /**
   * Further attempts per first one, how many may be saved up; the usual spans that a first one
   * needs.
   */
  private static final double RETRY_RATIO = 0.2;

  private static final double RETRY_MOST = 20;
  private static final double MARGIN = 1.5;
  private static final double PATIENCE = 6;

  private final PolicySettings cfg;
  private final PolicyActions out;
  private final SplittableRandom random;
  private final EventClock clock;
  private final QuotaManager quotas;
  private final EndpointRouter router;
  private final ConcurrencyCaps concurrencyCaps = new ConcurrencyCaps();
  private long now;
  private long nextControl;
  private long restUntil;

  private final Map<String, Job> jobs = new HashMap<>();
  private final Lane[] lanes;
  private final ShareController shares;
  private final ConcurrencyController concurrency;
  private int inFlight;
  private double retryTokens = RETRY_MOST;
  private double virtualTime;

  /** A gateway that starts now; {@code seed} is its only source of chance. */
  public GatewayPolicy(PolicySettings settings, long seed, long now, PolicyActions actions) {
    cfg = settings;
    out = actions;
    random = new SplittableRandom(seed);
    this.now = now;
    lanes = new Lane[cfg.requestClasses().size()];
    for (int i = 0; i < lanes.length; i++) {
      lanes[i] = new Lane(i, cfg.requestClasses().get(i));
    }
    clock = new EventClock(now);
    router = new EndpointRouter(cfg, clock, random, out);
    quotas = new QuotaManager(cfg, clock, random, out, this::counterAnswered);
    List<ClassIntervalStatistics> statistics =
        Arrays.stream(lanes).map(lane -> lane.statistics).toList();
    shares = new ShareController(statistics);
    concurrency = new ConcurrencyController(statistics, cfg.nodeCount());
    nextControl = now + SECOND;
    out.scheduleTimer(0, TICK);
    if (cfg.limits().subscribesToEndpoints()) {
      out.subscribeToEndpoints();
    }
  }

  private void setNow(long at) {
    now = at;
    clock.set(at);
  }

  @Override
  public void endpointsUpdated(long at, EndpointListKind kind, List<Endpoint> entries) {
    setNow(at);
    if (kind == EndpointListKind.FAILED) {
      out.subscribeToEndpoints();
    }
    router.endpointsUpdated(kind, entries);
    endpointsChanged();
  }

  /** After each change of the endpoints that may be chosen. */
  private void endpointsChanged() {
    updateCapacity();
    dispatch();
  }

  @Override
  public boolean setEndpointEjected(long at, String id, boolean ejected) {
    setNow(at);
    return applied(router.setEndpointEjected(id, ejected));
  }

  private boolean applied(EjectionResult result) {
    if (result == EjectionResult.CHANGED) {
      endpointsChanged();
    }
    return result != EjectionResult.REFUSED;
  }

  @Override
  public void restoreEjectedEndpoints(long at, Set<String> ids) {
    setNow(at);
    router.restoreEjectedEndpoints(ids);
    endpointsChanged();
  }

  @Override
  public boolean setZoneEjected(long at, int zone, boolean ejected, long rampNanos) {
    setNow(at);
    return applied(router.setZoneEjected(zone, ejected, rampNanos));
  }

  @Override
  public void restoreEjectedZones(long at, Set<Integer> ejected) {
    setNow(at);
    for (int zone : router.zonesChangedByOperator()) {
      if (!ejected.contains(zone)) {
        applied(router.setZoneEjected(zone, false, cfg.rules().slowStartNanos()));
      }
    }
    router.ejectZones(ejected);
    endpointsChanged();
  }

  @Override
  public void setZoneRamp(long at, int zone, TrafficRamp ramp) {
    setNow(at);
    router.setZoneRamp(zone, ramp);
    endpointsChanged();
  }

  @Override
  public void probeZone(long at, int zone) {
    setNow(at);
    router.probeZone(zone);
  }

  /** The evidence of this node's attempts in each zone with listed endpoints. */
  public List<ZoneHealth> zoneHealth(long at) {
    setNow(at);
    return router.zoneHealth();
  }

  /** How a zone stands now, as of the last event. */
  public ZoneStatus zoneStatus(int zone) {
    return router.zoneStatus(zone);
  }

  /** The zones that operators have ejected. */
  public Set<Integer> ejectedZones() {
    return router.zonesEjectedByOperator();
  }

  @Override
  public StateTransfer exportState(long at) {
    setNow(at);
    List<QuotaUsage> usages = quotas.exportUsages();
    return new StateTransfer(
        quotas.counterCallsPerSecond(),
        Arrays.stream(lanes).map(lane -> lane.service).toList(),
        usages);
  }

  @Override
  public void importState(long at, StateTransfer from) {
    setNow(at);
    for (int i = 0; i < Math.min(lanes.length, from.serviceTimesSeconds().size()); i++) {
      lanes[i].service = from.serviceTimesSeconds().get(i);
    }
    quotas.importUsages(from.counterCallsPerSecond(), from.quotaUsages());
  }

  /** The endpoints that operators have ejected, listed or not. */
  public Set<String> operatorEjectedEndpoints() {
    return router.endpointsEjectedByOperator();
  }

  /** The listed endpoints that are avoided now: ejected by an operator, draining, or outliers. */
  public List<String> avoidedEndpoints() {
    return router.avoidedEndpoints();
  }

  @Override
  public void requestReceived(long at, Request request) {
    setNow(at);
    boolean known =
        request.requestClass() >= 0
            && request.requestClass() < lanes.length
            && request.plan() >= 0
            && request.plan() < cfg.quotaPlans().size();
    if (!known) {
      out.reject(request.id(), 0);
    }
    if (!known || jobs.containsKey(request.id())) {
      return;
    }
    QuotaReservation reservation = quotas.newReservation(request);
    Lane lane = lanes[request.requestClass()];
    lane.statistics.requestArrived();
    Job job = new Job(request, reservation, lane);
    jobs.put(request.id(), job);
    if (job.hopeless()) {
      // Some come with hardly any time left: the next look at the queue would be too late.
      giveUp(job);
    } else {
      applyQuotaDecision(job, quotas.admit(reservation, lane.spec.priorityWeight(), job.aimAt()));
    }
    dispatch();
  }

  @Override
  public void requestOverHostCapacity(long at, Request request) {
    setNow(at);
    // All that are turned away in a surge must not come back together.
    double most = Math.min(2, cfg.limits().maxRetryAfterNanos() * NANO);
    out.reject(request.id(), advice(most * (0.5 + random.nextDouble() / 2)));
  }

  private void enqueue(Job job) {
    job.lane.queue.add(job);
    relieve(job.lane);
    router.checkHealthIfRarelyUsed(job);
  }

  @Override
  public void attemptEnded(long at, AttemptResult result) {
    setNow(at);
    Job job = jobs.get(result.requestId());
    if (job == null || job.backend == null) {
      return;
    }
    EndpointTracker backend = job.backend;
    job.backend = null;
    // A level under one is kept over time: hundreds with one out each may be too many for a small
    // fleet.
    restUntil = now + (long) (result.durationNanos() * Math.max(0, 1 / concurrency.limit() - 1));
    inFlight -= router.attemptEnded(job, backend, result) ? 1 : 0;
    job.lane.observe(job, result);
    if (result.outcome() == Outcome.OK) {
      quotas.requestServed(job.reservation, result.trueUnits());
    }
    if (!result.outcome().provesNotExecuted() && job.mayHaveRunSince == 0) {
      job.mayHaveRunSince = job.sentAt;
      job.anchor = backend;
    }
    if (result.requestComplete() || job.over) {
      forget(job);
    } else {
      again(job, result.outcome().provesNotExecuted());
    }
    dispatch();
  }

  @Override
  public void streamStarted(long at, String id) {
    setNow(at);
  }

  @Override
  public void bodyForwarded(long at, String id) {
    setNow(at);
    Job job = jobs.get(id);
    if (job == null || job.backend == null || job.passedOn) {
      return;
    }
    // While its client sends, it is no load: a slow one must hold no place nor make its server look
    // slow.
    job.passedOn = true;
    inFlight--;
    router.bodyForwarded(job, job.backend);
    dispatch();
  }

  @Override
  public void uploadCompleted(long at, String id) {
    setNow(at);
    Job job = jobs.get(id);
    if (job == null || job.backend == null) {
      return;
    }
    inFlight++;
    job.arrived = now;
    job.sentAt = now;
    router.uploadCompleted(job, job.backend);
  }

  @Override
  public void clientDisconnected(long at, String id) {
    setNow(at);
    Job job = jobs.get(id);
    if (job == null) {
      return;
    }
    job.over = true;
    if (job.backend == null && !job.reservation.awaitingCounter()) {
      job.lane.queue.remove(job);
      forget(job);
    }
  }

  @Override
  public void counterReplied(long at, long name, Outcome outcome, double total) {
    setNow(at);
    quotas.counterReplied(name, outcome, total);
    dispatch();
  }

  /** The wait of a request for the shared counter is over. */
  private void counterAnswered(String requestId, boolean answered) {
    Job job = jobs.get(requestId);
    if (job.over) {
      forget(job);
    } else {
      applyQuotaDecision(job, quotas.decide(job.reservation, answered));
    }
  }

  private void applyQuotaDecision(Job job, QuotaDecision decision) {
    if (decision == QuotaDecision.ADMITTED) {
      enqueue(job);
    } else if (decision == QuotaDecision.REJECTED) {
      out.reject(job.request.id(), advice(job.reservation.retryAfterSeconds()));
      forget(job);
    }
  }

  @Override
  public void healthChecked(long at, String id, Outcome how, long took, List<Double> report) {
    setNow(at);
    router.healthChecked(id, report);
  }

  @Override
  public void timerFired(long at, long token) {
    setNow(at);
    out.scheduleTimer(0, TICK);
    for (Lane lane : lanes) {
      expire(lane.queue);
    }
    quotas.timerFired();
    if (now >= nextControl) {
      nextControl += SECOND;
      updateCapacity();
      endControlInterval();
    }
    dispatch();
  }

  /** A request taken and not yet finished. */
  private final class Job implements RoutableRequest {
    private final Request request;
    private final QuotaReservation reservation;
    private final QuotaPlan plan;
    private final ConcurrencyCap concurrencyCap;
    private final Lane lane;
    private long arrived = now;
    private final double vAtArrival = virtualTime;
    private boolean open;
    private boolean over;
    private boolean passedOn;
    private int attempts;
    private EndpointTracker backend;
    private long sentAt;
    private long mayHaveRunSince;
    private EndpointTracker anchor;

    Job(Request request, QuotaReservation reservation, Lane lane) {
      this.request = request;
      this.reservation = reservation;
      plan = reservation.quota().plan();
      concurrencyCap = concurrencyCaps.of(request.customer(), plan, reservation.quota().nodes());
      this.lane = lane;
    }

    @Override
    public RequestClass requestClass() {
      return lane.spec;
    }

    @Override
    public int attempts() {
      return attempts;
    }

    @Override
    public boolean mayHaveExecuted() {
      return mayHaveRunSince != 0;
    }

    @Override
    public EndpointTracker mayHaveExecutedAt() {
      return anchor;
    }

    @Override
    public long sentAtNanos() {
      return sentAt;
    }

    @Override
    public double expectedServiceSeconds() {
      return cost();
    }

    double worth() {
      double part =
          reservation.withinQuota()
              ? 1
              : plan.overQuotaValueFraction() - plan.overQuotaCostFraction();
      return lane.spec.priorityWeight() * plan.priceFactor() * part;
    }

    long aimAt() {
      return Math.min(arrived + lane.spec.latencyObjectiveNanos(), request.deadlineNanos());
    }

    boolean mayGo() {
      return concurrencyCap.hasRoom();
    }

    /** Too late to be sent for the first time and answered within its aim. */
    boolean hopeless() {
      long need = attempts == 0 ? (long) (MARGIN * cost() * SECOND) : 0;
      return now + Math.max(need, 2 * TICK + cfg.tickNanos()) >= aimAt();
    }

    double cost() {
      return lane.service
          * Math.max(0.3, Math.min(3, request.units() / Math.max(1e-9, lane.units)));
    }
  }

  /** A request class: its queue, its finish tag and what a request of it usually takes. */
  private final class Lane {
    private final int index;
    private final RequestClass spec;
    private final ClassIntervalStatistics statistics;
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private double finishTag;
    private double service;
    private double units = 1;

    Lane(int index, RequestClass spec) {
      this.index = index;
      this.spec = spec;
      statistics = new ClassIntervalStatistics(spec);
      service = spec.latencyObjectiveNanos() * NANO / 8;
    }

    double share() {
      return shares.share(index);
    }

    /**
     * Start tag of the head. Computed at release, so that a changed share acts on what is queued
     * too.
     */
    double startTag() {
      return Math.max(first().vAtArrival, finishTag);
    }

    Job first() {
      return queue.stream().filter(Job::mayGo).findFirst().orElse(null);
    }

    void observe(Job job, AttemptResult result) {
      double took = result.durationNanos() * NANO;
      if (result.outcome() == Outcome.OK) {
        service += 0.02 * (took - service);
        units += 0.02 * (job.request.units() - units);
        statistics.attemptSucceeded(
            job.plan.priceFactor() * job.request.units(),
            (now - job.arrived) * NANO,
            (job.sentAt - job.arrived) * NANO,
            took);
      } else if (result.outcome() != Outcome.CANCELLED && result.outcome() != Outcome.NOT_SENT) {
        boolean cutShort = result.outcome() == Outcome.TIMEOUT && now < job.aimAt();
        statistics.attemptFailed(took, cutShort);
      }
    }
  }

  /** Answers what has waited too long; a short deadline may stand behind a long one. */
  private void expire(ArrayDeque<Job> waiting) {
    if (waiting.isEmpty()) {
      return;
    }
    for (Job job : waiting.stream().filter(Job::hopeless).toList()) {
      waiting.remove(job);
      giveUp(job);
    }
  }

  /**
   * Refuses the least worth of a queue too long, by Little's law, to be answered within its aim.
   */
  private void relieve(Lane lane) {
    double backlogged =
        Arrays.stream(lanes).mapToDouble(l -> l.queue.isEmpty() ? 0 : l.share()).sum();
    double rate =
        concurrency.limit() / lane.service * lane.share() / Math.max(Shares.MIN_SHARE, backlogged);
    double budget =
        Math.max(
            lane.spec.latencyObjectiveNanos() * NANO - 2 * lane.service,
            lane.spec.latencyObjectiveNanos() * NANO / 4);
    while (inFlight >= concurrency.limit()
        && lane.queue.size() > 1
        && lane.queue.size() / rate > budget) {
      Job least = lane.queue.peek();
      for (Job job : lane.queue) {
        least = job.worth() <= least.worth() ? job : least;
      }
      lane.queue.remove(least);
      giveUp(least);
    }
  }

  /** Releases requests by start tag while fewer than the concurrency level are out. */
  private void dispatch() {
    while (inFlight < concurrency.limit() && now >= restUntil) {
      Lane next =
          Arrays.stream(lanes)
              .filter(lane -> lane.first() != null)
              .min(Comparator.comparingDouble(Lane::startTag))
              .orElse(null);
      if (next == null) {
        return;
      }
      Job job = next.first();
      if (job.hopeless()) {
        next.queue.remove(job);
        giveUp(job);
        continue;
      }
      EndpointTracker backend = router.select(job);
      if (backend == null) {
        return;
      }
      double start = next.startTag();
      next.queue.remove(job);
      virtualTime = start;
      next.finishTag = start + 1 / next.share();
      send(job, backend);
    }
  }

  /** Tells the concurrency controller what the allowed endpoints can carry now. */
  private void updateCapacity() {
    concurrency.capacityChanged(router.usableCapacity());
    router.capacityChanged(concurrency.effectiveEndpoints());
  }

  private void endControlInterval() {
    shares.intervalEnded();
    concurrency.intervalEnded();
    for (Lane lane : lanes) {
      lane.statistics.reset();
    }
  }

  private void send(Job job, EndpointTracker backend) {
    if (job.attempts == 0) {
      retryTokens = Math.min(RETRY_MOST, retryTokens + RETRY_RATIO);
    }
    if (!job.open) {
      job.concurrencyCap.acquire();
      job.open = true;
    }
    job.attempts++;
    job.backend = backend;
    job.sentAt = now;
    router.attemptSent(job, backend);
    inFlight++;
    if (inFlight >= concurrency.limit()) {
      concurrency.markLimitReached();
    }
    out.sendAttempt(job.request.id(), backend.id(), patience(job));
  }

  /**
   * How long to wait: while an answer is worth something; a first time so that another is in time.
   */
  private long patience(Job job) {
    long until = job.lane.spec.lateValueFraction() <= 0 ? job.aimAt() : job.request.deadlineNanos();
    // A silent server would cost the request; a slow one seldom takes so many usual spans.
    long enough = (long) (PATIENCE * job.cost() * SECOND);
    boolean another =
        job.attempts == 1
            && job.lane.spec.idempotency() != Idempotency.NOT_IDEMPOTENT
            && inFlight < concurrency.limit()
            && retryTokens >= RETRY_MOST / 2
            && enough + (long) (2 * MARGIN * job.cost() * SECOND) < until - now;
    return another ? enough : Math.max(MS, until - now);
  }

  /** After an attempt that did not end the request: another one, or the final answer. */
  private void again(Job job, boolean neverRan) {
    RequestClass spec = job.lane.spec;
    boolean mayRepeat =
        job.mayHaveRunSince == 0
            || spec.idempotency() == Idempotency.IDEMPOTENT
            || spec.idempotency() == Idempotency.KEYED
                && now - job.mayHaveRunSince + TICK < spec.idempotencyKeyWindowNanos();
    boolean inTime = now + (long) (job.lane.service * SECOND / 2) < job.aimAt();
    double price = neverRan ? 0 : 1;
    boolean may = mayRepeat && inTime && retryTokens >= price && !job.passedOn;
    EndpointTracker backend =
        may && job.attempts < cfg.limits().maxAttempts() ? router.select(job) : null;
    if (backend == null) {
      giveUp(job);
    } else {
      retryTokens -= price;
      send(job, backend);
    }
  }

  /** After how long a refused client should come back, so far as the settings let it be told. */
  private long advice(double seconds) {
    long most = cfg.limits().retryAfterAllowed() ? cfg.limits().maxRetryAfterNanos() : 0;
    return (long) Math.min(most, Math.max(TICK, seconds * SECOND));
  }

  /** The one final answer of a request that is not served: refused if that is true, else failed. */
  private void giveUp(Job job) {
    RequestClass spec = job.lane.spec;
    if (job.mayHaveRunSince == 0
        || spec.idempotency() == Idempotency.IDEMPOTENT
        || spec.idempotency() == Idempotency.KEYED
            && spec.deduplicationScope() == DeduplicationScope.ALL) {
      // Who comes back before what waits now is through only makes the wait longer.
      out.reject(
          job.request.id(), advice(job.lane.queue.size() * job.lane.service / concurrency.limit()));
    } else {
      out.fail(job.request.id());
    }
    forget(job);
  }

  /** The end of a request here; what it took is given back if it was never sent. */
  private void forget(Job job) {
    jobs.remove(job.request.id());
    if (job.attempts == 0) {
      quotas.release(job.reservation);
    }
    if (job.open) {
      job.concurrencyCap.release();
    }
  }
}

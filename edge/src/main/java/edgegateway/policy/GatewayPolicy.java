package edgegateway.policy;

import edgegateway.policy.admission.ConcurrencyCap;
import edgegateway.policy.admission.ConcurrencyCaps;
import edgegateway.policy.api.AttemptResult;
import edgegateway.policy.api.DeduplicationScope;
import edgegateway.policy.api.Endpoint;
import edgegateway.policy.api.EndpointListKind;
import edgegateway.policy.api.EndpointState;
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
import edgegateway.policy.time.EventClock;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

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
   * Weight of an answer in a server's averages; memory, in seconds, of these and of the others'
   * use.
   */
  private static final double ALPHA = 0.12;

  private static final double ALPHA_ERR = 0.2;
  private static final double FORGIVE_S = 4;
  private static final double TALLY_S = 5;

  /**
   * For how long a server no longer named is remembered, in seconds; what is known ages far sooner.
   */
  private static final int FORGET_S = 60;

  /** How many times what cold servers took in the last seconds they may take where none is warm. */
  private static final double GROWTH = 4;

  /** A server of which this part fails counts as avoided. */
  private static final double SHUN = 0.5;

  /**
   * How many servers each of as many gateways as servers looks at for a request; two are the least.
   */
  private static final int LOOK = 3;

  /**
   * Further attempts per first one, how many may be saved up; the usual spans that a first one
   * needs.
   */
  private static final double RETRY_RATIO = 0.2;

  private static final double RETRY_MOST = 20;
  private static final double MARGIN = 1.5;
  private static final double PATIENCE = 6;
  private static final double LATE = 3;

  /**
   * The values of a load report that tell how busy a server is; their life in seconds; how many
   * stay.
   */
  private static final Set<String> LOADS = Set.of("waiting", "active", "cpu");

  private static final int REPORT_S = 1;
  private static final int RECENT = 6;
  private final PolicySettings cfg;
  private final PolicyActions out;
  private final SplittableRandom random;
  private final long born;
  private final EventClock clock;
  private final QuotaManager quotas;
  private final ConcurrencyCaps concurrencyCaps = new ConcurrencyCaps();
  private long now;
  private long nextControl;
  private long sentWorkAt;
  private long restUntil;

  private final Map<String, Job> jobs = new HashMap<>();
  private final Map<String, Backend> servers = new LinkedHashMap<>();
  private List<Backend> listed = List.of();
  private List<Backend> allowed = List.of();

  /** Servers that operators keep out, whatever the list says. */
  private final Set<String> operatorEjectedEndpoints = new HashSet<>();

  /**
   * Zones that operators keep out, or have back bit by bit; the same by verdict; those to be tried.
   */
  private final Map<Integer, TrafficRamp> zones = new TreeMap<>();

  private final Map<Integer, TrafficRamp> verdicts = new TreeMap<>();

  private final Set<Integer> trials = new TreeSet<>();
  private final Map<Integer, Tally> tallies = new TreeMap<>();
  private final Map<Integer, Double> kindLatency = new HashMap<>();
  private final Map<Integer, Double> zoneErrors = new HashMap<>();
  private final Backend[] lastHeard = new Backend[RECENT];
  private final Lane[] lanes;
  private final ShareController shares;
  private final ConcurrencyController concurrency;
  private double warm;
  private int inFlight;
  private int heardCount;
  private double retryTokens = RETRY_MOST;
  private double virtualTime;
  private double sentWork;
  private double sentToOne;
  private double usualLoad;

  /** A gateway that starts now; {@code seed} is its only source of chance. */
  public GatewayPolicy(PolicySettings settings, long seed, long now, PolicyActions actions) {
    cfg = settings;
    out = actions;
    random = new SplittableRandom(seed);
    born = now;
    this.now = now;
    lanes = new Lane[cfg.requestClasses().size()];
    for (int i = 0; i < lanes.length; i++) {
      lanes[i] = new Lane(i, cfg.requestClasses().get(i));
    }
    clock = new EventClock(now);
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
    } else if (kind != EndpointListKind.DELTA) {
      Set<String> named = entries.stream().map(Endpoint::id).collect(Collectors.toSet());
      servers.values().stream().filter(b -> !named.contains(b.id)).forEach(b -> b.named = false);
    }
    for (Endpoint entry : entries) {
      Backend known = servers.get(entry.id());
      boolean anew = known == null || known.entry.startedAtNanos() != entry.startedAtNanos();
      if (known != null) {
        known.ready = false;
      }
      Backend backend = anew ? new Backend(entry) : known;
      servers.put(entry.id(), backend);
      backend.entry = entry;
      backend.named = entry.state() != EndpointState.REMOVED;
    }
    relist();
  }

  /** Takes the servers that may be sent to anew from the list and from what operators keep out. */
  private void relist() {
    servers.values().removeIf(Backend::forgotten);
    for (Backend b : servers.values()) {
      b.ready =
          b.named
              && b.entry.state() == EndpointState.READY
              && !operatorEjectedEndpoints.contains(b.id)
              && handShare(b.entry.zone()) > 0;
    }
    // A zone out by verdict leaves the operator's limit as it is: the level's loop sees the rest.
    allowed = servers.values().stream().filter(b -> b.ready).toList();
    listed = allowed.stream().filter(b -> zoneShare(b.entry.zone()) > 0).toList();
    updateCapacity();
    dispatch();
  }

  @Override
  public boolean setEndpointEjected(long at, String id, boolean out) {
    setNow(at);
    Backend known = servers.get(id);
    if (known == null && !operatorEjectedEndpoints.contains(id)) {
      return false;
    }
    if (out) {
      operatorEjectedEndpoints.add(id);
    } else {
      readmit(id);
    }
    relist();
    return true;
  }

  @Override
  public void restoreEjectedEndpoints(long at, Set<String> ids) {
    setNow(at);
    List.copyOf(operatorEjectedEndpoints).stream()
        .filter(id -> !ids.contains(id))
        .forEach(this::readmit);
    operatorEjectedEndpoints.addAll(ids);
    relist();
  }

  private void readmit(String id) {
    if (operatorEjectedEndpoints.remove(id) && servers.containsKey(id)) {
      beginAnew(servers.get(id));
    }
  }

  /**
   * A server that was out may have been restarted, and what was known of it is old: it begins as
   * cold.
   */
  private void beginAnew(Backend old) {
    Backend fresh = new Backend(old.entry);
    fresh.named = old.named;
    fresh.coldSince = now;
    old.ready = false;
    servers.put(old.id, fresh);
  }

  @Override
  public boolean setZoneEjected(long at, int zone, boolean out, long ramp) {
    setNow(at);
    boolean was = zones.containsKey(zone) && zones.get(zone).endFraction() == 0;
    if (out && listed.stream().allMatch(b -> in(zone, b))) {
      return false;
    }
    if (out == was) {
      return true;
    }
    zones.put(zone, new TrafficRamp(0, out ? 0 : 1, now, Math.max(1, ramp)));
    if (!out) {
      servers.values().stream().filter(b -> in(zone, b)).toList().forEach(this::beginAnew);
    }
    relist();
    return true;
  }

  @Override
  public void restoreEjectedZones(long at, Set<Integer> out) {
    setNow(at);
    zones.keySet().stream()
        .filter(zone -> !out.contains(zone))
        .toList()
        .forEach(zone -> setZoneEjected(at, zone, false, cfg.rules().slowStartNanos()));
    out.stream()
        .filter(zone -> !ejectedZones().contains(zone))
        .forEach(zone -> zones.put(zone, new TrafficRamp(0, 0, now, 1)));
    relist();
  }

  @Override
  public void setZoneRamp(long at, int zone, TrafficRamp course) {
    setNow(at);
    if (course == null) {
      verdicts.remove(zone);
    } else {
      verdicts.put(zone, course);
    }
    trials.remove(zone);
    relist();
  }

  @Override
  public void probeZone(long at, int zone) {
    setNow(at);
    trials.add(zone);
  }

  private static boolean in(int zone, Backend b) {
    return b.entry.zone() == zone;
  }

  /** Operators go before verdicts until what they had back is back. */
  private double zoneShare(int zone) {
    double share = handShare(zone);
    return share < 1 || !verdicts.containsKey(zone) ? share : verdicts.get(zone).fractionAt(now);
  }

  private double handShare(int zone) {
    return zones.containsKey(zone) ? zones.get(zone).fractionAt(now) : 1;
  }

  /** What attempts in a zone came to, fading, and ever. */
  private final class Tally {
    private double ended;
    private double missed;
    private double excess;
    private long at = now;
    private long attempts;
    private long misses;
    private long answered = born;

    void fade() {
      double kept = Math.exp(-(now - at) * NANO);
      ended *= kept;
      missed *= kept;
      // For longer: whoever avoids bad servers meets few misses more.
      excess *= Math.pow(kept, 1 / TALLY_S);
      at = now;
    }

    void add(boolean miss, boolean silent) {
      fade();
      ended++;
      attempts++;
      missed += miss ? 1 : 0;
      misses += miss ? 1 : 0;
      // A zone that errs is still there.
      excess = Math.max(0, excess + (silent ? 1 : miss ? 0.5 : -1));
      answered = silent ? answered : now;
    }
  }

  /** What attempts met in each zone that has servers on the list. */
  public List<ZoneHealth> zoneHealth(long at) {
    setNow(at);
    List<Backend> all =
        servers.values().stream().filter(b -> b.named && b.entry.zone() >= 0).toList();
    return all.stream()
        .map(b -> b.entry.zone())
        .distinct()
        .sorted()
        .map(
            zone -> {
              Tally tally = tallies.computeIfAbsent(zone, key -> new Tally());
              tally.fade();
              List<Backend> its = all.stream().filter(b -> in(zone, b)).toList();
              // What is out for far too long is missed already: silence must not be waited for to
              // its end.
              Map<Backend, Long> lates = new HashMap<>();
              its.forEach(b -> lates.put(b, b.late(tally.answered)));
              long late = lates.values().stream().mapToLong(one -> one).sum();
              List<Backend> heard =
                  its.stream()
                      .filter(b -> now - b.heard < FORGIVE_S * SECOND || lates.get(b) > 0)
                      .toList();
              int mute = (int) heard.stream().filter(b -> b.silent || lates.get(b) > 0).count();
              int bad = (int) heard.stream().filter(b -> b.missed || lates.get(b) > 0).count();
              int cold = (int) its.stream().filter(Backend::cold).count();
              double share = its.size() / (double) all.size();
              return new ZoneHealth(
                  zone,
                  tally.ended + late,
                  tally.missed + late,
                  tally.excess + late,
                  its.size(),
                  heard.size(),
                  bad,
                  mute,
                  cold,
                  share,
                  tally.attempts,
                  tally.misses,
                  tally.answered);
            })
        .toList();
  }

  /** How a zone stands now, as of the last event. */
  public ZoneStatus zoneStatus(int zone) {
    List<Backend> its = servers.values().stream().filter(b -> b.named && in(zone, b)).toList();
    int usable = (int) its.stream().filter(b -> b.ready).count();
    TrafficRamp course = zones.getOrDefault(zone, verdicts.get(zone));
    long since = course == null ? 0 : course.startNanos();
    boolean byHand =
        zones.containsKey(zone) && (handShare(zone) < 1 || !verdicts.containsKey(zone));
    return new ZoneStatus(zoneShare(zone), since, its.size(), usable, byHand);
  }

  /** The zones that operators keep out. */
  public Set<Integer> ejectedZones() {
    return zones.keySet().stream()
        .filter(zone -> zones.get(zone).endFraction() == 0)
        .collect(Collectors.toSet());
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

  /** The servers that operators keep out, listed or not. */
  public Set<String> operatorEjectedEndpoints() {
    return Set.copyOf(operatorEjectedEndpoints);
  }

  /** The servers of the list that are avoided now: out by hand, draining, or failing too often. */
  public List<String> avoidedEndpoints() {
    // A risk lies between a server's own errors and its zone's: hardly any is to be worked out.
    double usual = zoneErrors.values().stream().mapToDouble(errors -> errors).max().orElse(0);
    return servers.values().stream()
        .filter(b -> b.named && (!b.ready || Math.max(b.errors, usual) > SHUN && b.risk() > SHUN))
        .map(b -> b.id)
        .toList();
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
    probe(job);
  }

  @Override
  public void attemptEnded(long at, AttemptResult result) {
    setNow(at);
    Job job = jobs.get(result.requestId());
    if (job == null || job.backend == null) {
      return;
    }
    Backend backend = job.backend;
    job.backend = null;
    inFlight -= backend.outstanding.contains(job) ? 1 : 0;
    // A level under one is kept over time: hundreds with one out each may be too many for a small
    // fleet.
    restUntil = now + (long) (result.durationNanos() * Math.max(0, 1 / concurrency.limit() - 1));
    backend.ended(job, result);
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
    job.backend.outstanding.remove(job);
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
    job.backend.outstanding.add(job);
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
    Backend backend = servers.get(id);
    if (backend == null) {
      return;
    }
    // A server that keeps its load to itself, or does not answer, is not idle.
    double load = report.isEmpty() ? 1 + 2 * usualLoad : 0;
    for (int i = 0; i < Math.min(report.size(), cfg.loadReportNames().size()); i++) {
      load += LOADS.contains(cfg.loadReportNames().get(i)) ? report.get(i) : 0;
    }
    usualLoad += 0.05 * (load - usualLoad);
    backend.load = load;
    backend.reported = now;
    lastHeard[heardCount++ % RECENT] = backend;
  }

  /**
   * Where own answers come less than once a second from each server, each request probes one by
   * chance.
   */
  private void probe(Job job) {
    boolean rare = sentWork < job.cost() * listed.size();
    if (rare && cfg.limits().healthChecksAllowed() && !cfg.loadReportNames().isEmpty()) {
      out.healthCheck(listed.get(random.nextInt(listed.size())).id);
    }
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
  private final class Job {
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
    private Backend backend;
    private long sentAt;
    private long mayHaveRunSince;
    private Backend anchor;

    Job(Request request, QuotaReservation reservation, Lane lane) {
      this.request = request;
      this.reservation = reservation;
      plan = reservation.quota().plan();
      concurrencyCap = concurrencyCaps.of(request.customer(), plan, reservation.quota().nodes());
      this.lane = lane;
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
      Backend backend = choose(job);
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
    concurrency.capacityChanged(allowed.stream().mapToDouble(b -> b.cold() ? b.warmth() : 1).sum());
    warm = allowed.stream().filter(b -> !b.cold()).count();
  }

  /**
   * What a warm server would be sent from here, in seconds of work a second. Where few are warm,
   * the cold ones tell it: more than they take, from one core on, till the limit on concurrency
   * binds.
   */
  private double warmWork() {
    double able = concurrency.effectiveEndpoints();
    return Math.max(1.0 / cfg.nodeCount(), sentToOne * able / Math.max(warm, able / GROWTH));
  }

  private void endControlInterval() {
    shares.intervalEnded();
    concurrency.intervalEnded();
    for (Lane lane : lanes) {
      lane.statistics.reset();
    }
  }

  /** What this gateway knows of a server. */
  private final class Backend {
    private final String id;
    private Endpoint entry;
    private boolean named;
    private boolean ready;
    private boolean shunned;
    private boolean missed;
    private boolean silent;
    private final LinkedHashSet<Job> outstanding = new LinkedHashSet<>();
    private double latency;
    private double errors;
    private double load;
    private long heard = now;
    private long coldAt = now;
    private long reported = born;
    private long coldSince;

    Backend(Endpoint entry) {
      id = entry.id();
      this.entry = entry;
      coldSince = entry.startedAtNanos();
      latency = kindLatency.getOrDefault(entry.machineType(), 1.0);
      errors = zoneErrors.getOrDefault(entry.zone(), 0.0);
    }

    /**
     * Off the list for long: each restart may name a server anew, and memory must not follow all.
     */
    boolean forgotten() {
      boolean known = named || !outstanding.isEmpty() || operatorEjectedEndpoints.contains(id);
      return !known && now - heard > FORGET_S * SECOND;
    }

    boolean cold() {
      return coldSince > 0 && now - coldSince < cfg.rules().slowStartNanos();
    }

    double warmth() {
      double age =
          Math.max(0, now - coldSince) / (double) Math.max(1, cfg.rules().slowStartNanos());
      return cfg.rules().slowStartInitialFraction()
          + (1 - cfg.rules().slowStartInitialFraction()) * Math.min(1, age);
    }

    /** What was not heard of lately is taken to be as its kind and its zone are. */
    private double lately(double own, double usual) {
      return usual + (own - usual) * Math.exp(-(now - heard) * NANO / FORGIVE_S);
    }

    double risk() {
      return lately(errors, zoneErrors.getOrDefault(entry.zone(), 0.0));
    }

    boolean groupedWith(Job job) {
      Endpoint b = job.anchor.entry;
      return job.lane.spec.deduplicationScope() == DeduplicationScope.ZONE
          ? entry.zone() == b.zone()
          : entry.cell() == b.cell();
    }

    double score() {
      double l = lately(latency, kindLatency.getOrDefault(entry.machineType(), 1.0));
      if (!outstanding.isEmpty()) {
        // An answer overdue tells of trouble before it ends.
        Job oldest = outstanding.iterator().next();
        l = Math.max(l, (now - oldest.sentAt) * NANO / oldest.cost() / 2);
      }
      double safe = 1 - Math.min(0.97, risk());
      double weight = cfg.endpointWeightsUsed() && entry.weight() > 0 ? entry.weight() : 1;
      l *= 1 + (load - usualLoad) / (1 + usualLoad) * Math.exp(-(now - reported) * NANO / REPORT_S);
      double s = l * (1 + outstanding.size() / weight) / (safe * safe);
      return entry.zone() == cfg.localZone() ? s : s * 1.05;
    }

    /** How many attempts sent since then are out for so long that most would have been answered. */
    long late(long since) {
      return outstanding.stream()
          .filter(job -> job.sentAt > since && now - job.sentAt > LATE * job.cost() * SECOND)
          .count();
    }

    void ended(Job job, AttemptResult result) {
      outstanding.remove(job);
      Outcome o = result.outcome();
      if (o == Outcome.CANCELLED || o == Outcome.NOT_SENT) {
        return;
      }
      boolean good = o == Outcome.OK;
      missed = !good && o != Outcome.REJECTED;
      silent = missed && o != Outcome.ERROR;
      tallies.computeIfAbsent(entry.zone(), zone -> new Tally()).add(missed, silent);
      // A fast failure must not look fast.
      double ratio = Math.min(20, result.durationNanos() * NANO / job.cost());
      ratio = good ? ratio : Math.max(3, ratio);
      double bad = good ? 0 : o == Outcome.REJECTED ? 0.5 : 1;
      // Where one gateway of many hears little of a server, it goes by what it hears of its like.
      double small = 2 * ALPHA / Math.max(1, listed.size());
      kindLatency.merge(entry.machineType(), ratio, (l, r) -> l + small * (r - l));
      zoneErrors.merge(entry.zone(), small * bad, (e, x) -> e + small * (bad - e));
      latency = lately(latency, kindLatency.get(entry.machineType()));
      errors = risk();
      heard = now;
      if (good) {
        lastHeard[heardCount++ % RECENT] = this;
      }
      latency += ALPHA * (ratio - latency);
      errors +=
          (o == Outcome.CONNECT_FAILED ? 1 : good ? ALPHA_ERR : 2 * ALPHA_ERR) * (bad - errors);
      if (shunned != errors > SHUN) {
        shunned = !shunned;
        out.log((shunned ? "server shunned: " : "server back: ") + id + " after " + o);
      }
    }
  }

  /**
   * All that drop a bound request's repeats, else some by chance: ranked alike, few would get all.
   */
  private List<Backend> candidates(Job job, boolean bound) {
    if (bound) {
      return listed.stream().filter(b -> b.groupedWith(job)).toList();
    }
    int most = Math.max(2, LOOK * listed.size() / cfg.nodeCount());
    if (most >= listed.size()) {
      return listed;
    }
    Stream<Backend> chance =
        random.ints(0, listed.size()).distinct().limit(most).mapToObj(listed::get);
    return Stream.concat(chance, Arrays.stream(lastHeard).filter(b -> b != null && b.ready))
        .toList();
  }

  /** The candidate that should answer soonest; null if none may be used now. */
  private Backend choose(Job job) {
    RequestClass spec = job.lane.spec;
    boolean bound =
        job.mayHaveRunSince > 0
            && spec.idempotency() == Idempotency.KEYED
            && spec.deduplicationScope() != DeduplicationScope.ALL;
    Backend best =
        job.attempts == 0 && spec.idempotency() == Idempotency.IDEMPOTENT ? trial() : null;
    if (best != null) {
      return best;
    }
    double bestScore = Double.MAX_VALUE;
    // Drawn once for all servers of a zone that comes back: by each anew it would get more than its
    // part.
    double luck = zones.isEmpty() && verdicts.isEmpty() ? 0 : random.nextDouble();
    for (Backend b : candidates(job, bound)) {
      // Gateways that know as little as each other must not all take the first of a list.
      double score = b.score() * (1 + 0.1 * random.nextDouble());
      if (score < bestScore
          && luck < zoneShare(b.entry.zone())
          && (!b.cold() || coldRoom(b, job))) {
        best = b;
        bestScore = score;
      }
    }
    return best;
  }

  /** A server of a zone that is out and to be tried; null if there is none. */
  private Backend trial() {
    if (trials.isEmpty()) {
      return null;
    }
    int zone = trials.iterator().next();
    trials.remove(zone);
    List<Backend> its = allowed.stream().filter(b -> in(zone, b)).toList();
    return its.isEmpty() ? null : its.get(random.nextInt(its.size()));
  }

  /**
   * By chance: a cold server's part of a warm one's work, from however many gateways, and no burst.
   */
  private boolean coldRoom(Backend b, Job job) {
    double work = warmWork() * b.warmth() * (now - b.coldAt) * NANO;
    b.coldAt = now;
    return random.nextDouble() * job.cost() < work;
  }

  private void send(Job job, Backend backend) {
    double kept = Math.exp(-(now - sentWorkAt) * NANO / 4);
    sentWork = sentWork * kept + job.cost() / 4;
    sentToOne = sentToOne * kept + job.cost() / 4 / concurrency.effectiveEndpoints();
    sentWorkAt = now;
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
    backend.outstanding.add(job);
    inFlight++;
    if (inFlight >= concurrency.limit()) {
      concurrency.markLimitReached();
    }
    out.sendAttempt(job.request.id(), backend.id, patience(job));
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
    Backend backend = may && job.attempts < cfg.limits().maxAttempts() ? choose(job) : null;
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

package edgegateway.node.zones;

import edgegateway.policy.api.TrafficRamp;
import edgegateway.policy.api.ZoneHealth;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Decides which zones to eject and when to readmit them ({@code docs/design/zones.md}). The input
 * is the health of the zones at this node and the number of nodes that voted; the output is traffic
 * ramps and half-open attempts.
 *
 * <p>Does no I/O and reads no clock: callers pass the time, in nanoseconds of the wall clock that
 * all nodes share. It must not run backwards within a process. Not thread-safe.
 */
public final class ZoneConsensus {
  /** The effects of the decisions. */
  public interface Actions {
    /** Sets the fraction of its usual traffic that a zone receives over time; null for all. */
    void setRamp(int zone, TrafficRamp ramp);

    /** Sends the next idempotent request to an ejected zone as a half-open attempt. */
    void probe(int zone);

    /** Writes a log line. */
    void log(String message);
  }

  /**
   * What a node knows about its fleet.
   *
   * @param settings settings of zone ejection
   * @param nodeIndex index of this node, from 0
   * @param nodeCount number of nodes, at least 1
   * @param zoneNames names of the zones by index
   * @param initialFraction fraction of its usual traffic, 0 to 1, at the start of a zone's return
   * @param rampNanos duration of the ramp of a returning zone if none of its endpoints is in slow
   *     start
   * @param slowStartRampNanos duration of the ramp if some of its endpoints may be in slow start
   */
  public record FleetSettings(
      ZoneEjectionSettings settings,
      int nodeIndex,
      int nodeCount,
      List<String> zoneNames,
      double initialFraction,
      long rampNanos,
      long slowStartRampNanos) {
    /**
     * Smallest majority of all nodes, running or not. Two partitions of a fleet cannot both have a
     * majority.
     */
    int majority() {
      return nodeCount / 2 + 1;
    }
  }

  /**
   * Duration of a voting window, in which votes are counted together. It is long enough that nodes
   * with little traffic find a failing zone too, and short compared with a typical ejection.
   */
  static final long VOTE_WINDOW_NANOS = 4_000_000_000L;

  /** Shortest mean time between two vote requests of a node about a zone. */
  private static final long MIN_VOTE_REQUEST_INTERVAL_NANOS = 250_000_000L;

  /** Limits the vote requests of all nodes about a zone to 250 per second. */
  private static final long VOTE_REQUEST_INTERVAL_PER_NODE_NANOS = 4_000_000L;

  /** Number of nodes from which each needs less evidence, since a majority makes up for it. */
  private static final int LARGE_FLEET_NODES = 24;

  /** Failure excess of a failing zone: three unanswered attempts in a row, less some decay. */
  private static final double FAILING_EXCESS = 2.8;

  /** Failure excess of a failing zone in a large fleet: two unanswered attempts in a row. */
  private static final double FAILING_EXCESS_IN_LARGE_FLEET = 1.8;

  /** Failure excess of a failing zone if none of its endpoints responds. */
  private static final double UNRESPONSIVE_EXCESS = 1.5;

  /** A failing zone has at least this many failing endpoints, or all if it has fewer. */
  private static final int MIN_FAILING_ENDPOINTS = 2;

  /** A healthy zone has at least this many recent answers. */
  private static final double HEALTHY_MIN_ANSWERS = 2;

  /** A healthy zone has at most this fraction of failures among its recent attempts. */
  private static final double HEALTHY_MAX_FAILURE_FRACTION = 0.2;

  /** A healthy zone has at most this failure excess. */
  private static final double HEALTHY_MAX_EXCESS = 1;

  /** Consecutive calls without an answer after which the counter is considered unreachable. */
  private static final int MAX_UNANSWERED_CALLS = 3;

  /** Tolerance for rounding errors in a sum of fractions. */
  private static final double FRACTION_TOLERANCE = 1e-9;

  private static final int NO_ZONE = -1;

  private final FleetSettings fleet;
  private final ZoneVoteTransport transport;
  private final Actions actions;
  private final SplittableRandom random;
  private final long startedNanos;
  private final Map<Integer, ZoneStateMachine> machinesByZone = new HashMap<>();
  private Map<Integer, ZoneHealth> healthByZone = Map.of();
  private int unansweredCalls;
  private long voteCalls;
  private long probes;
  private boolean ejectionsBlocked;
  private boolean discoveryCurrent;
  private boolean voting = true;

  /**
   * Creates an instance with all zones in use.
   *
   * @param seed seed of the only source of randomness
   */
  public ZoneConsensus(
      FleetSettings fleet, ZoneVoteTransport transport, long seed, long nowNanos, Actions actions) {
    this.fleet = fleet;
    this.transport = transport;
    this.actions = actions;
    random = new SplittableRandom(seed);
    startedNanos = nowNanos;
  }

  /**
   * Updates the state of all zones; must be called about ten times a second.
   *
   * @param zones health of all zones that have endpoints in the list
   * @param discoveryCurrent whether discovery responds, so that restarted endpoints are known
   */
  public void tick(long nowNanos, List<ZoneHealth> zones, boolean discoveryCurrent) {
    this.discoveryCurrent = discoveryCurrent;
    healthByZone = new HashMap<>();
    zones.forEach(health -> healthByZone.put(health.zone(), health));
    Set<Integer> failing = new HashSet<>();
    zones.stream().filter(this::isFailing).forEach(health -> failing.add(health.zone()));
    blockExcessiveEjections(failing);
    for (ZoneHealth health : zones) {
      machine(health.zone())
          .tick(nowNanos, health, failing.contains(health.zone()), hasHealthyPeer(health));
    }
  }

  /**
   * Removes the zones that are not yet ejected from {@code failing} if ejecting all of them would
   * exceed the limit. Wrong evidence is more likely than so many failures at once.
   */
  private void blockExcessiveEjections(Set<Integer> failing) {
    double ejected = ejectedFraction(NO_ZONE);
    double additional =
        failing.stream()
            .filter(zone -> !machine(zone).isEjected())
            .mapToDouble(zone -> healthByZone.get(zone).endpointFraction())
            .sum();
    boolean blocked = additional > 0 && !withinLimit(ejected + additional);
    if (blocked) {
      failing.removeIf(zone -> !machine(zone).isEjected());
    }
    if (blocked != ejectionsBlocked) {
      ejectionsBlocked = blocked;
      actions.log(
          blocked
              ? "zone_ejections_blocked reason=max_ejected_fraction"
              : "zone_ejections_allowed");
    }
  }

  private boolean isFailing(ZoneHealth health) {
    double requiredExcess =
        fleet.nodeCount() < LARGE_FLEET_NODES ? FAILING_EXCESS : FAILING_EXCESS_IN_LARGE_FLEET;
    boolean majorityFails =
        health.failureExcess() >= requiredExcess
            && health.failingEndpoints()
                >= Math.min(MIN_FAILING_ENDPOINTS, health.listedEndpoints())
            && 2 * health.failingEndpoints() >= health.observedEndpoints();
    // A node stops using an unresponsive endpoint at once. When all of them are unresponsive, it
    // gets no additional evidence, so less is required.
    boolean noneRespond =
        health.listedEndpoints() > 1
            && health.unresponsiveEndpoints() == health.listedEndpoints()
            && health.failureExcess() >= UNRESPONSIVE_EXCESS;
    return (majorityFails || noneRespond) && hasHealthyPeer(health);
  }

  /**
   * Whether another zone is healthy. If none is, the cause may be this node's own network or an
   * overload of all zones.
   */
  private boolean hasHealthyPeer(ZoneHealth health) {
    return healthByZone.values().stream()
        .anyMatch(other -> other.zone() != health.zone() && isHealthy(other));
  }

  private static boolean isHealthy(ZoneHealth health) {
    double answers = health.recentAttempts() - health.recentFailures();
    return answers >= HEALTHY_MIN_ANSWERS
        && health.recentFailures() <= HEALTHY_MAX_FAILURE_FRACTION * health.recentAttempts()
        && health.failureExcess() <= HEALTHY_MAX_EXCESS;
  }

  /** Fraction of the listed endpoints that are in ejected zones, not counting one zone. */
  private double ejectedFraction(int excludedZone) {
    return healthByZone.values().stream()
        .filter(health -> health.zone() != excludedZone && machine(health.zone()).isEjected())
        .mapToDouble(ZoneHealth::endpointFraction)
        .sum();
  }

  private boolean withinLimit(double ejectedFraction) {
    return ejectedFraction <= fleet.settings().maxEjectedFraction() + FRACTION_TOLERANCE;
  }

  /** Whether a zone may be ejected in addition to those that already are. */
  boolean mayEject(int zone) {
    ZoneHealth health = healthByZone.get(zone);
    return health != null && withinLimit(ejectedFraction(zone) + health.endpointFraction());
  }

  private ZoneStateMachine machine(int zone) {
    return machinesByZone.computeIfAbsent(
        zone, ignored -> new ZoneStateMachine(zone, this, fleet, actions, random.split()));
  }

  /**
   * Handles the number of votes that the transport reported.
   *
   * @param count an integral number; ignored if it exceeds the number of nodes
   */
  public void votesCounted(long nowNanos, ZoneVote vote, double count) {
    unansweredCalls = 0;
    int votes = (int) Math.rint(count);
    if (votes <= fleet.nodeCount()) {
      machine(vote.zone()).votesCounted(nowNanos, vote, votes);
    } else {
      actions.log(
          "zone_votes_ignored zone="
              + fleet.zoneNames().get(vote.zone())
              + " votes="
              + votes
              + " nodes="
              + fleet.nodeCount());
    }
  }

  /** Handles a call of the transport that ended without an answer. */
  public void voteUnanswered() {
    unansweredCalls++;
  }

  /**
   * Whether this node decides without the others, because of its settings or because the counter is
   * unreachable.
   */
  boolean decidesLocally() {
    return isLocalMode() || unansweredCalls >= MAX_UNANSWERED_CALLS;
  }

  private boolean isLocalMode() {
    return fleet.settings().decisionMode() == ZoneEjectionSettings.DecisionMode.ALONE;
  }

  /**
   * Requests the number of votes on a question. Also casts this node's vote if it agrees and has
   * not voted in the current window. A process does not vote in a window that began before its
   * start, since its predecessor may have voted for the node.
   *
   * @param agrees whether this node's evidence supports the question
   * @param votedWindow window of this node's last vote on the question
   * @return window of this node's last vote after this call
   */
  long requestVotes(
      long nowNanos, int zone, ZoneVote.Question question, boolean agrees, long votedWindow) {
    if (isLocalMode()) {
      return votedWindow;
    }
    long window = window(nowNanos);
    boolean castsVote =
        agrees && voting && votedWindow != window && window * VOTE_WINDOW_NANOS >= startedNanos;
    voteCalls++;
    transport.requestVoteCount(nowNanos, new ZoneVote(zone, question, window), castsVote);
    return castsVote ? window : votedWindow;
  }

  /** Duration of the ramp of a zone that returns now, in nanoseconds. */
  long returnRampNanos(int zone) {
    ZoneHealth health = healthByZone.get(zone);
    boolean noneInSlowStart =
        discoveryCurrent && health != null && health.slowStartEndpoints() == 0;
    return noneInSlowStart ? fleet.rampNanos() : fleet.slowStartRampNanos();
  }

  /** Number of the voting window at a time. */
  static long window(long nowNanos) {
    return Math.floorDiv(nowNanos, VOTE_WINDOW_NANOS);
  }

  /** Mean time between two vote requests of this node about a zone, in nanoseconds. */
  long voteRequestIntervalNanos() {
    return Math.max(
        MIN_VOTE_REQUEST_INTERVAL_NANOS, fleet.nodeCount() * VOTE_REQUEST_INTERVAL_PER_NODE_NANOS);
  }

  /** Sends a half-open attempt to an ejected zone. */
  void probe(int zone) {
    probes++;
    actions.probe(zone);
  }

  /** Stops casting votes, since this process ends or another one takes over the node. */
  public void stopVoting() {
    voting = false;
  }

  /** Ejection state of a zone as this node sees it. */
  public ZoneEjectionState state(int zone) {
    return machine(zone).state();
  }

  /** Number of calls of the transport since the start. */
  public long voteCalls() {
    return voteCalls;
  }

  /** Number of half-open attempts requested since the start. */
  public long probes() {
    return probes;
  }

  /** Number of zones whose traffic is reduced: being ejected, ejected or returning. */
  public long ejectedZones() {
    return machinesByZone.values().stream().filter(ZoneStateMachine::isEjected).count();
  }
}

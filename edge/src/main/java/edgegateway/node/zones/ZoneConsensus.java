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
 * Which zones the fleet ejects and how they return ({@code docs/design/zones.md}): gets the health
 * of the zones and the votes of the nodes, and sets ramps and asks for half-open attempts. No I/O;
 * the clock is given. Times are nanoseconds of the wall clock, which all nodes share and which must
 * not run backwards in one process. Not thread-safe.
 */
public final class ZoneConsensus {
  /** What it asks for. */
  public interface Actions {
    /** Sets the fraction of its usual traffic that a zone gets over time; null for all of it. */
    void setRamp(int zone, TrafficRamp ramp);

    /** Sends the next idempotent request to an ejected zone. */
    void probe(int zone);

    /** Writes a log line. */
    void log(String message);
  }

  /**
   * What a node knows of its fleet.
   *
   * @param settings how zones are ejected
   * @param nodeIndex index of this node, from 0
   * @param nodeCount number of nodes, at least 1
   * @param zoneNames names of the zones by index
   * @param initialFraction fraction of its traffic with which a zone begins to return, 0 to 1
   * @param rampNanos how long the traffic of a returning zone grows if none of its endpoints is
   *     known to be in slow start
   * @param slowStartRampNanos the same if some may be
   */
  public record FleetSettings(
      ZoneEjectionSettings settings,
      int nodeIndex,
      int nodeCount,
      List<String> zoneNames,
      double initialFraction,
      long rampNanos,
      long slowStartRampNanos) {
    /** More than half of all nodes, running or not: no two parts of a fleet can both have it. */
    int majority() {
      return nodeCount / 2 + 1;
    }
  }

  /** Votes count for a window: long enough for slow evidence, short against an ejection. */
  static final long VOTE_WINDOW_NANOS = 4_000_000_000L;

  /** A node asks for votes at most so often. */
  private static final long MIN_ASK_INTERVAL_NANOS = 250_000_000L;

  /** All nodes together ask at most 250 times a second. */
  private static final long ASK_INTERVAL_PER_NODE_NANOS = 4_000_000L;

  /** From so many nodes on, a majority makes up for less evidence at each. */
  private static final int LARGE_FLEET_NODES = 24;

  /** Failure excess from which a zone is failing: three failures, or two in a large fleet. */
  private static final double FAILING_EXCESS = 2.8;

  private static final double FAILING_EXCESS_IN_LARGE_FLEET = 1.8;

  /** The same if none of its endpoints responds. */
  private static final double UNRESPONSIVE_EXCESS = 1.5;

  /** Failing endpoints that a failing zone has at least, or all if it has fewer. */
  private static final int MIN_FAILING_ENDPOINTS = 2;

  /** What a healthy zone has: answers of late, at least. */
  private static final double HEALTHY_MIN_ANSWERS = 2;

  /** Failed fraction of its attempts of late, at most. */
  private static final double HEALTHY_MAX_FAILURE_FRACTION = 0.2;

  /** Failure excess, at most. */
  private static final double HEALTHY_MAX_EXCESS = 1;

  /** Calls without an answer in a row after which the counter counts as unreachable. */
  private static final int MAX_UNANSWERED_CALLS = 3;

  /** Tolerance of a sum of fractions. */
  private static final double FRACTION_TOLERANCE = 1e-9;

  private static final int NO_ZONE = -1;

  private final FleetSettings fleet;
  private final ZoneVoteTransport transport;
  private final Actions actions;
  private final SplittableRandom random;
  private final long startedNanos;
  private final Map<Integer, ZoneStateMachine> machines = new HashMap<>();
  private Map<Integer, ZoneHealth> healthByZone = Map.of();
  private int unansweredCalls;
  private long voteCalls;
  private long probes;
  private boolean ejectionsBlocked;
  private boolean discoveryCurrent;
  private boolean voting = true;

  /**
   * Begins with all zones in use.
   *
   * @param seed of the only source of randomness
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
   * Goes on; to be called some ten times a second.
   *
   * @param zones health of all zones that have endpoints in the list
   * @param discoveryCurrent whether discovery answers, so that a restarted endpoint would be known
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
   * If ejecting all failing zones would leave too few endpoints, none is ejected: that much failing
   * at once is less likely than wrong evidence.
   */
  private void blockExcessiveEjections(Set<Integer> failing) {
    double ejected = ejectedFraction(NO_ZONE);
    double further =
        failing.stream()
            .filter(zone -> !machine(zone).isEjected())
            .mapToDouble(zone -> healthByZone.get(zone).endpointFraction())
            .sum();
    boolean blocked = further > 0 && !withinLimit(ejected + further);
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
    boolean mostFail =
        health.failureExcess() >= requiredExcess
            && health.failingEndpoints()
                >= Math.min(MIN_FAILING_ENDPOINTS, health.listedEndpoints())
            && 2 * health.failingEndpoints() >= health.observedEndpoints();
    // A node avoids each unresponsive endpoint at once: it will see no more than that all are.
    boolean noneResponds =
        health.listedEndpoints() > 1
            && health.unresponsiveEndpoints() == health.listedEndpoints()
            && health.failureExcess() >= UNRESPONSIVE_EXCESS;
    return (mostFail || noneResponds) && hasHealthyPeer(health);
  }

  /** Without one, this node may be cut off itself, or all zones overloaded. */
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

  /** Fraction of the listed endpoints in ejected zones, without one zone. */
  private double ejectedFraction(int withoutZone) {
    return healthByZone.values().stream()
        .filter(health -> health.zone() != withoutZone && machine(health.zone()).isEjected())
        .mapToDouble(ZoneHealth::endpointFraction)
        .sum();
  }

  private boolean withinLimit(double ejectedFraction) {
    return ejectedFraction <= fleet.settings().maxEjectedFraction() + FRACTION_TOLERANCE;
  }

  /** Whether a zone may be ejected beside those that are. */
  boolean mayEject(int zone) {
    ZoneHealth health = healthByZone.get(zone);
    return health != null && withinLimit(ejectedFraction(zone) + health.endpointFraction());
  }

  private ZoneStateMachine machine(int zone) {
    return machines.computeIfAbsent(
        zone, any -> new ZoneStateMachine(zone, this, fleet, actions, random.split()));
  }

  /**
   * The transport reported how many nodes cast a vote.
   *
   * @param count a whole number; one above the number of nodes is ignored
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

  /** A call of the transport ended without an answer. */
  public void voteUnanswered() {
    unansweredCalls++;
  }

  /** Whether this node decides without the others, by its settings or as it cannot reach them. */
  boolean decidesLocally() {
    return isAlone() || unansweredCalls >= MAX_UNANSWERED_CALLS;
  }

  private boolean isAlone() {
    return fleet.settings().decisionMode() == ZoneEjectionSettings.DecisionMode.ALONE;
  }

  /**
   * Asks for the votes on a question, and votes if this node has not in this window. It casts no
   * vote in a window that began before this process: another one may have voted for the node.
   *
   * @param castsVote whether the question is true for this node
   * @param votedWindow window of its last vote on this question
   * @return the window of its last vote now
   */
  long ask(
      long nowNanos, int zone, ZoneVote.Question question, boolean castsVote, long votedWindow) {
    if (isAlone()) {
      return votedWindow;
    }
    long window = window(nowNanos);
    boolean votes =
        castsVote && voting && votedWindow != window && window * VOTE_WINDOW_NANOS >= startedNanos;
    voteCalls++;
    transport.cast(nowNanos, new ZoneVote(zone, question, window), votes);
    return votes ? window : votedWindow;
  }

  /** How long the traffic of a zone grows on its return. */
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

  /** Mean time between two calls of this node about a zone. */
  long askIntervalNanos() {
    return Math.max(MIN_ASK_INTERVAL_NANOS, fleet.nodeCount() * ASK_INTERVAL_PER_NODE_NANOS);
  }

  /** Sends a half-open attempt to an ejected zone. */
  void probe(int zone) {
    probes++;
    actions.probe(zone);
  }

  /** This node ends, or another process takes over: it casts no votes any more. */
  public void stopVoting() {
    voting = false;
  }

  /** State of a zone. */
  public ZoneEjectionState state(int zone) {
    return machine(zone).state();
  }

  /** Calls of the transport since the start. */
  public long voteCalls() {
    return voteCalls;
  }

  /** Half-open attempts since the start. */
  public long probes() {
    return probes;
  }

  /** Number of zones that are ejected, leaving or returning. */
  public long ejectedZones() {
    return machines.values().stream().filter(ZoneStateMachine::isEjected).count();
  }
}

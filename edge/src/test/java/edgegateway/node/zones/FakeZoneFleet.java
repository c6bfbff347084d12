package edgegateway.node.zones;

import edgegateway.policy.api.TrafficRamp;
import edgegateway.policy.api.ZoneHealth;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * A simulated fleet: one {@link ZoneConsensus} for each node, on a common simulated clock, with a
 * fake counter and fake results of attempts.
 */
final class FakeZoneFleet {
  static final long MILLISECOND_NANOS = 1_000_000L;
  static final long SECOND_NANOS = 1_000 * MILLISECOND_NANOS;
  static final List<String> ZONES = List.of("a", "b", "c");
  static final long RETURN_RAMP_NANOS = 6 * SECOND_NANOS;
  static final double INITIAL_FRACTION = 0.24;

  /** Number of archive servers in each zone. */
  private static final int SERVERS = 4;

  /** Time constant of the decay of recent attempts and failures. */
  private static final double HEALTH_DECAY_NANOS = 1e9;

  /** Probability of failure of an attempt. */
  interface FailureModel {
    double failureProbability(int node, int zone);
  }

  private record ScheduledTask(long timeNanos, Runnable task) {}

  /** A node with its consensus and the results of its attempts. */
  final class Node implements ZoneConsensus.Actions {
    final int index;
    final SplittableRandom nodeRandom = random.split();
    final double[] recentAttempts = new double[ZONES.size()];
    final double[] recentFailures = new double[ZONES.size()];
    final double[] failureExcess = new double[ZONES.size()];
    final long[] attempts = new long[ZONES.size()];
    final long[] failures = new long[ZONES.size()];
    final long[] lastAnswerNanos = new long[ZONES.size()];
    final TrafficRamp[] ramps = new TrafficRamp[ZONES.size()];
    final boolean[] probing = new boolean[ZONES.size()];
    final List<String> log = new ArrayList<>();

    /** Difference between the node's clock and the simulated clock. */
    long clockOffsetNanos;

    /** Amount that a vote of this node adds to the counter; 1 for a correct node. */
    double votesPerCast = 1;

    /** Whether the node falsely reports a zone as failing, whatever its attempts' results. */
    boolean alwaysSuspects;

    boolean stopped;
    ZoneConsensus consensus;

    Node(int index) {
      this.index = index;
      start();
    }

    /** Starts the node, or restarts it with a new consensus. */
    void start() {
      java.util.Arrays.fill(ramps, null);
      consensus =
          new ZoneConsensus(
              new ZoneConsensus.FleetSettings(
                  settings,
                  index,
                  size,
                  ZONES,
                  INITIAL_FRACTION,
                  RETURN_RAMP_NANOS,
                  2 * RETURN_RAMP_NANOS),
              this::requestVoteCount,
              nodeRandom.nextLong(),
              nowNanos + clockOffsetNanos,
              this);
    }

    private void requestVoteCount(long nodeNowNanos, ZoneVote vote, boolean castsVote) {
      voteCalls++;
      long calledNanos = nowNanos;
      ZoneConsensus caller = consensus;
      boolean reachedCounter =
          !counterUnreachable && nodeRandom.nextDouble() >= messageLossProbability;
      if (reachedCounter) {
        votesBySubject.merge(vote, castsVote ? votesPerCast : 0, Double::sum);
      }
      double total = votesBySubject.getOrDefault(vote, 0.0);
      boolean answered = reachedCounter && nodeRandom.nextDouble() >= messageLossProbability;
      scheduled.add(
          new ScheduledTask(
              calledNanos + (answered ? 2 : 250) * MILLISECOND_NANOS,
              () -> {
                if (caller == consensus && answered) {
                  consensus.votesCounted(nowNanos + clockOffsetNanos, vote, total);
                } else if (caller == consensus) {
                  consensus.voteUnanswered();
                }
              }));
    }

    double trafficFraction(int zone) {
      return ramps[zone] == null ? 1 : ramps[zone].fractionAt(nowNanos + clockOffsetNanos);
    }

    ZoneEjectionState.State state(int zone) {
      return consensus.state(zone).state();
    }

    private void attempt(int zone) {
      boolean failed = nodeRandom.nextDouble() < failureModel.failureProbability(index, zone);
      recentAttempts[zone]++;
      attempts[zone]++;
      recentFailures[zone] += failed ? 1 : 0;
      failures[zone] += failed ? 1 : 0;
      failureExcess[zone] = Math.max(0, failureExcess[zone] + (failed ? 1 : -1));
      lastAnswerNanos[zone] = failed ? lastAnswerNanos[zone] : nowNanos + clockOffsetNanos;
      attemptsByZone[zone]++;
    }

    private void tick(long stepNanos) {
      List<ZoneHealth> all = new ArrayList<>();
      for (int zone = 0; zone < ZONES.size(); zone++) {
        double decay = Math.exp(-stepNanos / HEALTH_DECAY_NANOS);
        recentAttempts[zone] *= decay;
        recentFailures[zone] *= decay;
        // The failure excess decays with a time constant five times as long.
        failureExcess[zone] *= Math.pow(decay, 0.2);
        if (nodeRandom.nextDouble() < rate * trafficFraction(zone) * stepNanos / SECOND_NANOS) {
          attempt(zone);
        }
        if (probing[zone]) {
          probing[zone] = false;
          attempt(zone);
        }
        int failingEndpoints = failureExcess[zone] > 1 ? SERVERS : 0;
        double endpointFraction = 1.0 / ZONES.size();
        // The false report: 10 attempts, all failed, and all endpoints observed and failing.
        all.add(
            alwaysSuspects && zone == index % ZONES.size()
                ? new ZoneHealth(
                    zone, 10, 10, 10, SERVERS, SERVERS, SERVERS, 0, 0, endpointFraction, 10, 10, 0)
                : new ZoneHealth(
                    zone,
                    recentAttempts[zone],
                    recentFailures[zone],
                    failureExcess[zone],
                    SERVERS,
                    SERVERS,
                    failingEndpoints,
                    0,
                    0,
                    endpointFraction,
                    attempts[zone],
                    failures[zone],
                    lastAnswerNanos[zone]));
      }
      consensus.tick(nowNanos + clockOffsetNanos, all, discoveryCurrent);
    }

    @Override
    public void setRamp(int zone, TrafficRamp ramp) {
      ramps[zone] = ramp;
    }

    @Override
    public void probe(int zone) {
      probing[zone] = true;
      probeCount++;
    }

    @Override
    public void log(String message) {
      log.add(nowNanos / MILLISECOND_NANOS + " " + message);
    }
  }

  final SplittableRandom random;
  final int size;
  final List<Node> nodes = new ArrayList<>();

  /** Totals of the fake counter. */
  final Map<ZoneVote, Double> votesBySubject = new HashMap<>();

  /** Number of attempts of all nodes by zone. */
  final long[] attemptsByZone = new long[ZONES.size()];

  final ZoneEjectionSettings settings;
  private final PriorityQueue<ScheduledTask> scheduled =
      new PriorityQueue<>(java.util.Comparator.comparingLong(ScheduledTask::timeNanos));
  FailureModel failureModel = (node, zone) -> 0.01;

  /** Probability that a call to the counter is lost, and that its answer is lost. */
  double messageLossProbability;

  /** Attempts per second of each node in each zone at full traffic. */
  double rate = 8;

  boolean counterUnreachable;
  boolean discoveryCurrent = true;
  long nowNanos = 1_000 * SECOND_NANOS;
  long voteCalls;
  long probeCount;

  FakeZoneFleet(int size, long seed, ZoneEjectionSettings.DecisionMode decisionMode) {
    this.size = size;
    random = new SplittableRandom(seed);
    settings =
        new ZoneEjectionSettings(
            decisionMode,
            ZoneEjectionSettings.DEFAULT_MAX_EJECTED_FRACTION,
            ZoneEjectionSettings.DEFAULT_LOCAL_DECISION_AFTER_NANOS);
    for (int i = 0; i < size; i++) {
      nodes.add(new Node(i));
    }
  }

  /** Advances the clock by a duration and runs {@code check} after each step. */
  void run(long durationNanos, Runnable check) {
    long stepNanos = ZoneEjectionController.TICK_INTERVAL_NANOS;
    long endNanos = nowNanos + durationNanos;
    while (nowNanos < endNanos) {
      nowNanos += stepNanos;
      while (!scheduled.isEmpty() && scheduled.peek().timeNanos() <= nowNanos) {
        scheduled.poll().task().run();
      }
      nodes.stream().filter(node -> !node.stopped).forEach(node -> node.tick(stepNanos));
      check.run();
    }
  }

  void run(long durationNanos) {
    run(durationNanos, () -> {});
  }

  long runningNodes() {
    return nodes.stream().filter(node -> !node.stopped).count();
  }

  /** Number of running nodes at which a zone is in a state. */
  long countInState(int zone, ZoneEjectionState.State state) {
    return nodes.stream().filter(node -> !node.stopped && node.state(zone) == state).count();
  }

  /** Number of running nodes that fully use a zone, including those that suspect it. */
  long inUse(int zone) {
    return countInState(zone, ZoneEjectionState.State.IN)
        + countInState(zone, ZoneEjectionState.State.SUSPECT);
  }

  /** Number of running nodes at which a zone's state was decided in a given way. */
  long decidedBy(int zone, ZoneEjectionState.DecidedBy decider) {
    return nodes.stream()
        .filter(node -> !node.stopped && node.consensus.state(zone).decidedBy() == decider)
        .count();
  }

  /** Mean fraction of its usual traffic that a zone receives from the running nodes. */
  double trafficFraction(int zone) {
    return nodes.stream()
        .filter(node -> !node.stopped)
        .mapToDouble(node -> node.trafficFraction(zone))
        .average()
        .orElse(0);
  }
}

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
 * A fleet of {@link ZoneConsensus} on one clock, with a counter between them and made-up health.
 */
final class FakeZoneFleet {
  static final long MS = 1_000_000L;
  static final long SECOND = 1_000 * MS;
  static final List<String> ZONES = List.of("a", "b", "c");
  static final long RAMP = 6 * SECOND;
  static final double BEGIN = 0.24;
  private static final int SERVERS = 4;
  private static final double HEALTH_DECAY_NANOS = 1e9;

  /** How likely an attempt fails. */
  interface Health {
    double failureProbability(int node, int zone);
  }

  private record ScheduledTask(long at, Runnable task) {}

  /** A node: its consensus, and how its attempts fared. */
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

    /** Difference of its clock from the true one. */
    long clockOffsetNanos;

    /** What a vote of this node adds to the counter. */
    double votesPerCast = 1;

    /** Whether it finds a zone failing whatever it sees. */
    boolean alwaysSuspects;

    boolean stopped;
    ZoneConsensus consensus;

    Node(int me) {
      this.index = me;
      start();
    }

    void start() {
      java.util.Arrays.fill(ramps, null);
      consensus =
          new ZoneConsensus(
              new ZoneConsensus.FleetSettings(settings, index, size, ZONES, BEGIN, RAMP, 2 * RAMP),
              this::requestVoteCount,
              nodeRandom.nextLong(),
              now + clockOffsetNanos,
              this);
    }

    private void requestVoteCount(long at, ZoneVote vote, boolean castsVote) {
      voteCalls++;
      long asked = now;
      ZoneConsensus of = consensus;
      boolean reaches = !counterDown && nodeRandom.nextDouble() >= callLoss;
      if (reaches) {
        totals.merge(vote, castsVote ? votesPerCast : 0, Double::sum);
      }
      double total = totals.getOrDefault(vote, 0.0);
      boolean answered = reaches && nodeRandom.nextDouble() >= callLoss;
      scheduled.add(
          new ScheduledTask(
              asked + (answered ? 2 : 250) * MS,
              () -> {
                if (of == consensus && answered) {
                  consensus.votesCounted(now + clockOffsetNanos, vote, total);
                } else if (of == consensus) {
                  consensus.voteUnanswered();
                }
              }));
    }

    double trafficFraction(int zone) {
      return ramps[zone] == null ? 1 : ramps[zone].fractionAt(now + clockOffsetNanos);
    }

    ZoneEjectionState.State state(int zone) {
      return consensus.state(zone).state();
    }

    private void attempt(int zone) {
      boolean failed = nodeRandom.nextDouble() < health.failureProbability(index, zone);
      recentAttempts[zone]++;
      attempts[zone]++;
      recentFailures[zone] += failed ? 1 : 0;
      failures[zone] += failed ? 1 : 0;
      failureExcess[zone] = Math.max(0, failureExcess[zone] + (failed ? 1 : -1));
      lastAnswerNanos[zone] = failed ? lastAnswerNanos[zone] : now + clockOffsetNanos;
      sent[zone]++;
    }

    private void tick(long span) {
      List<ZoneHealth> all = new ArrayList<>();
      for (int zone = 0; zone < ZONES.size(); zone++) {
        double kept = Math.exp(-span / HEALTH_DECAY_NANOS);
        recentAttempts[zone] *= kept;
        recentFailures[zone] *= kept;
        failureExcess[zone] *= Math.pow(kept, 0.2);
        if (nodeRandom.nextDouble() < rate * trafficFraction(zone) * span / SECOND) {
          attempt(zone);
        }
        if (probing[zone]) {
          probing[zone] = false;
          attempt(zone);
        }
        int failingEndpoints = failureExcess[zone] > 1 ? SERVERS : 0;
        double part = 1.0 / ZONES.size();
        all.add(
            alwaysSuspects && zone == index % ZONES.size()
                ? new ZoneHealth(zone, 10, 10, 10, SERVERS, SERVERS, SERVERS, 0, 0, part, 10, 10, 0)
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
                    part,
                    attempts[zone],
                    failures[zone],
                    lastAnswerNanos[zone]));
      }
      consensus.tick(now + clockOffsetNanos, all, discoveryCurrent);
    }

    @Override
    public void setRamp(int zone, TrafficRamp course) {
      ramps[zone] = course;
    }

    @Override
    public void probe(int zone) {
      probing[zone] = true;
      probes++;
    }

    @Override
    public void log(String text) {
      log.add(now / MS + " " + text);
    }
  }

  final SplittableRandom random;
  final int size;
  final List<Node> nodes = new ArrayList<>();
  final Map<ZoneVote, Double> totals = new HashMap<>();
  final long[] sent = new long[ZONES.size()];
  final ZoneEjectionSettings settings;
  private final PriorityQueue<ScheduledTask> scheduled =
      new PriorityQueue<>(java.util.Comparator.comparingLong(ScheduledTask::at));
  Health health = (node, zone) -> 0.01;

  /** Fraction of calls lost on the way to the counter, and of answers on the way back. */
  double callLoss;

  /** Attempts per second of a node in a zone. */
  double rate = 8;

  boolean counterDown;
  boolean discoveryCurrent = true;
  long now = 1_000 * SECOND;
  long voteCalls;
  long probes;

  FakeZoneFleet(int size, long seed, ZoneEjectionSettings.DecisionMode verdicts) {
    this.size = size;
    random = new SplittableRandom(seed);
    settings =
        new ZoneEjectionSettings(
            verdicts,
            ZoneEjectionSettings.DEFAULT_MAX_EJECTED_FRACTION,
            ZoneEjectionSettings.DEFAULT_LOCAL_DECISION_AFTER_NANOS);
    for (int i = 0; i < size; i++) {
      nodes.add(new Node(i));
    }
  }

  /** Runs for a time; {@code check} is run after each step. */
  void run(long span, Runnable check) {
    long step = ZoneEjectionController.TICK_INTERVAL_NANOS;
    long until = now + span;
    while (now < until) {
      now += step;
      while (!scheduled.isEmpty() && scheduled.peek().at() <= now) {
        scheduled.poll().task().run();
      }
      nodes.stream().filter(node -> !node.stopped).forEach(node -> node.tick(step));
      check.run();
    }
  }

  void run(long span) {
    run(span, () -> {});
  }

  long running() {
    return nodes.stream().filter(node -> !node.stopped).count();
  }

  /** How many running nodes have a zone in this state. */
  long in(int zone, ZoneEjectionState.State state) {
    return nodes.stream().filter(node -> !node.stopped && node.state(zone) == state).count();
  }

  /** How many running nodes use a zone in full, though some may suspect it. */
  long inUse(int zone) {
    return in(zone, ZoneEjectionState.State.IN) + in(zone, ZoneEjectionState.State.SUSPECT);
  }

  /** For how many running nodes the state of a zone was decided so. */
  long decidedBy(int zone, ZoneEjectionState.DecidedBy why) {
    return nodes.stream()
        .filter(node -> !node.stopped && node.consensus.state(zone).decidedBy() == why)
        .count();
  }

  /** Mean fraction of its usual traffic that running nodes send to a zone. */
  double trafficFraction(int zone) {
    return nodes.stream()
        .filter(node -> !node.stopped)
        .mapToDouble(node -> node.trafficFraction(zone))
        .average()
        .orElse(0);
  }
}

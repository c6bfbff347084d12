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
 * Many agreements on one clock with a counter between them; what their attempts meet is made up.
 */
final class FakeZoneFleet {
  static final long MS = 1_000_000L;
  static final long SECOND = 1_000 * MS;
  static final List<String> ZONES = List.of("a", "b", "c");
  static final long RAMP = 6 * SECOND;
  static final double BEGIN = 0.24;
  private static final int SERVERS = 4;
  private static final double MEMORY = 1e9;

  /** How likely an attempt misses. */
  interface Health {
    double miss(int node, int zone);
  }

  private record Later(long at, Runnable what) {}

  /** A node: its agreement, and what its attempts came to. */
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

    /** How far its clock is off. */
    long clockOffsetNanos;

    /** How often a vote of this node counts; a liar accuses whatever it meets. */
    double votesPerCast = 1;

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
              this::cast,
              nodeRandom.nextLong(),
              now + clockOffsetNanos,
              this);
    }

    private void cast(long at, ZoneVote ballot, boolean mine) {
      voteCalls++;
      long asked = now;
      ZoneConsensus of = consensus;
      boolean reaches = !counterDown && nodeRandom.nextDouble() >= callLoss;
      if (reaches) {
        totals.merge(ballot, mine ? votesPerCast : 0, Double::sum);
      }
      double total = totals.getOrDefault(ballot, 0.0);
      boolean answered = reaches && nodeRandom.nextDouble() >= callLoss;
      later.add(
          new Later(
              asked + (answered ? 2 : 250) * MS,
              () -> {
                if (of == consensus && answered) {
                  consensus.votesCounted(now + clockOffsetNanos, ballot, total);
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
      boolean miss = nodeRandom.nextDouble() < health.miss(index, zone);
      recentAttempts[zone]++;
      attempts[zone]++;
      recentFailures[zone] += miss ? 1 : 0;
      failures[zone] += miss ? 1 : 0;
      failureExcess[zone] = Math.max(0, failureExcess[zone] + (miss ? 1 : -1));
      lastAnswerNanos[zone] = miss ? lastAnswerNanos[zone] : now + clockOffsetNanos;
      sent[zone]++;
    }

    private void tick(long span) {
      List<ZoneHealth> all = new ArrayList<>();
      for (int zone = 0; zone < ZONES.size(); zone++) {
        double kept = Math.exp(-span / MEMORY);
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
        int bad = failureExcess[zone] > 1 ? SERVERS : 0;
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
                    bad,
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
  private final PriorityQueue<Later> later =
      new PriorityQueue<>(java.util.Comparator.comparingLong(Later::at));
  Health health = (node, zone) -> 0.01;

  /** The part of calls lost on the way there, and of answers on the way back. */
  double callLoss;

  /** Attempts of a node in a zone a second. */
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

  /** Goes on for a span; {@code always} is asked at each step. */
  void run(long span, Runnable always) {
    long step = ZoneEjectionController.TICK_NANOS;
    long until = now + span;
    while (now < until) {
      now += step;
      while (!later.isEmpty() && later.peek().at() <= now) {
        later.poll().what().run();
      }
      nodes.stream().filter(node -> !node.stopped).forEach(node -> node.tick(step));
      always.run();
    }
  }

  void run(long span) {
    run(span, () -> {});
  }

  long running() {
    return nodes.stream().filter(node -> !node.stopped).count();
  }

  /** How many living nodes have a zone in this state. */
  long in(int zone, ZoneEjectionState.State state) {
    return nodes.stream().filter(node -> !node.stopped && node.state(zone) == state).count();
  }

  /** How many living nodes use a zone as ever, though some may doubt it. */
  long inUse(int zone) {
    return in(zone, ZoneEjectionState.State.IN) + in(zone, ZoneEjectionState.State.SUSPECT);
  }

  /** How many living nodes have a zone away by this. */
  long decidedBy(int zone, ZoneEjectionState.DecidedBy why) {
    return nodes.stream()
        .filter(node -> !node.stopped && node.consensus.state(zone).decidedBy() == why)
        .count();
  }

  /** The zone's part of what all living nodes send, on the average. */
  double trafficFraction(int zone) {
    return nodes.stream()
        .filter(node -> !node.stopped)
        .mapToDouble(node -> node.trafficFraction(zone))
        .average()
        .orElse(0);
  }
}

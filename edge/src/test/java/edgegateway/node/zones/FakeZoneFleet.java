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
    final int me;
    final SplittableRandom own = random.split();
    final double[] ended = new double[ZONES.size()];
    final double[] missed = new double[ZONES.size()];
    final double[] excess = new double[ZONES.size()];
    final long[] attempts = new long[ZONES.size()];
    final long[] misses = new long[ZONES.size()];
    final long[] answered = new long[ZONES.size()];
    final TrafficRamp[] courses = new TrafficRamp[ZONES.size()];
    final boolean[] trying = new boolean[ZONES.size()];
    final List<String> log = new ArrayList<>();

    /** How far its clock is off. */
    long off;

    /** How often a vote of this node counts; a liar accuses whatever it meets. */
    double weight = 1;

    boolean liar;
    boolean dead;
    ZoneConsensus agreement;

    Node(int me) {
      this.me = me;
      start();
    }

    void start() {
      java.util.Arrays.fill(courses, null);
      agreement =
          new ZoneConsensus(
              new ZoneConsensus.Terms(settings, me, size, ZONES, BEGIN, RAMP, 2 * RAMP),
              this::cast,
              own.nextLong(),
              now + off,
              this);
    }

    private void cast(long at, ZoneVote ballot, boolean mine) {
      calls++;
      long asked = now;
      ZoneConsensus of = agreement;
      boolean reaches = !down && own.nextDouble() >= loss;
      if (reaches) {
        totals.merge(ballot, mine ? weight : 0, Double::sum);
      }
      double total = totals.getOrDefault(ballot, 0.0);
      boolean answered = reaches && own.nextDouble() >= loss;
      later.add(
          new Later(
              asked + (answered ? 2 : 250) * MS,
              () -> {
                if (of == agreement && answered) {
                  agreement.tallied(now + off, ballot, total);
                } else if (of == agreement) {
                  agreement.unanswered();
                }
              }));
    }

    double share(int zone) {
      return courses[zone] == null ? 1 : courses[zone].fractionAt(now + off);
    }

    ZoneEjectionState.State state(int zone) {
      return agreement.verdict(zone).state();
    }

    private void attempt(int zone) {
      boolean miss = own.nextDouble() < health.miss(me, zone);
      ended[zone]++;
      attempts[zone]++;
      missed[zone] += miss ? 1 : 0;
      misses[zone] += miss ? 1 : 0;
      excess[zone] = Math.max(0, excess[zone] + (miss ? 1 : -1));
      answered[zone] = miss ? answered[zone] : now + off;
      sent[zone]++;
    }

    private void tick(long span) {
      List<ZoneHealth> all = new ArrayList<>();
      for (int zone = 0; zone < ZONES.size(); zone++) {
        double kept = Math.exp(-span / MEMORY);
        ended[zone] *= kept;
        missed[zone] *= kept;
        excess[zone] *= Math.pow(kept, 0.2);
        if (own.nextDouble() < rate * share(zone) * span / SECOND) {
          attempt(zone);
        }
        if (trying[zone]) {
          trying[zone] = false;
          attempt(zone);
        }
        int bad = excess[zone] > 1 ? SERVERS : 0;
        double part = 1.0 / ZONES.size();
        all.add(
            liar && zone == me % ZONES.size()
                ? new ZoneHealth(zone, 10, 10, 10, SERVERS, SERVERS, SERVERS, 0, 0, part, 10, 10, 0)
                : new ZoneHealth(
                    zone,
                    ended[zone],
                    missed[zone],
                    excess[zone],
                    SERVERS,
                    SERVERS,
                    bad,
                    0,
                    0,
                    part,
                    attempts[zone],
                    misses[zone],
                    answered[zone]));
      }
      agreement.tick(now + off, all, told);
    }

    @Override
    public void course(int zone, TrafficRamp course) {
      courses[zone] = course;
    }

    @Override
    public void trial(int zone) {
      trying[zone] = true;
      trials++;
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
  double loss;

  /** Attempts of a node in a zone a second. */
  double rate = 8;

  boolean down;
  boolean told = true;
  long now = 1_000 * SECOND;
  long calls;
  long trials;

  FakeZoneFleet(int size, long seed, ZoneEjectionSettings.Verdicts verdicts) {
    this.size = size;
    random = new SplittableRandom(seed);
    settings =
        new ZoneEjectionSettings(
            verdicts, ZoneEjectionSettings.MOST_OUT, ZoneEjectionSettings.ALONE_AFTER);
    for (int i = 0; i < size; i++) {
      nodes.add(new Node(i));
    }
  }

  /** Goes on for a span; {@code always} is asked at each step. */
  void run(long span, Runnable always) {
    long step = ZoneEjectionController.TICK;
    long until = now + span;
    while (now < until) {
      now += step;
      while (!later.isEmpty() && later.peek().at() <= now) {
        later.poll().what().run();
      }
      nodes.stream().filter(node -> !node.dead).forEach(node -> node.tick(step));
      always.run();
    }
  }

  void run(long span) {
    run(span, () -> {});
  }

  long living() {
    return nodes.stream().filter(node -> !node.dead).count();
  }

  /** How many living nodes have a zone in this state. */
  long in(int zone, ZoneEjectionState.State state) {
    return nodes.stream().filter(node -> !node.dead && node.state(zone) == state).count();
  }

  /** How many living nodes use a zone as ever, though some may doubt it. */
  long used(int zone) {
    return in(zone, ZoneEjectionState.State.IN) + in(zone, ZoneEjectionState.State.SUSPECT);
  }

  /** How many living nodes have a zone away by this. */
  long by(int zone, ZoneEjectionState.Why why) {
    return nodes.stream()
        .filter(node -> !node.dead && node.agreement.verdict(zone).why() == why)
        .count();
  }

  /** The zone's part of what all living nodes send, on the average. */
  double share(int zone) {
    return nodes.stream()
        .filter(node -> !node.dead)
        .mapToDouble(node -> node.share(zone))
        .average()
        .orElse(0);
  }
}

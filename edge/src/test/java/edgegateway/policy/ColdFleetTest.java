package edgegateway.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.policy.api.AttemptResult;
import edgegateway.policy.api.Endpoint;
import edgegateway.policy.api.EndpointListKind;
import edgegateway.policy.api.EndpointState;
import edgegateway.policy.api.Outcome;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * What all gateways of a fleet together send to servers that are cold, against what these may be
 * sent.
 */
class ColdFleetTest {
  private static final long MS = 1_000_000L;
  private static final long SPAN = 2_000 * MS;
  private static final long RAMP = 10_000 * MS;
  private static final int SERVERS = 20;
  private static final int CORES = 4;
  private static final int MOST_HELD = 40;
  private static final double WORK_S = 0.2;
  private static final double COLD_FROM = 0.25;

  /** An attempt that ends at a moment. */
  private record End(long at, int gateway, String id, String server, long sentAt, Outcome how) {}

  private final List<Host> gateways = new ArrayList<>();
  private final Map<String, ArrayDeque<Long>> arrived = new HashMap<>();
  private final Map<String, Integer> held = new HashMap<>();
  private final PriorityQueue<End> ends = new PriorityQueue<>(Comparator.comparingLong(End::at));
  private long began;
  private double most;
  private double multiple;

  private double warmth(String server, long nowNanos, int cold) {
    boolean is = Integer.parseInt(server.substring(1)) < cold;
    return is ? Math.min(1, COLD_FROM + (1 - COLD_FROM) * (nowNanos - began) / RAMP) : 1;
  }

  /** Carries what a gateway just asked for to its servers. */
  private void carry(int at, int from, SplittableRandom random, int cold, int failing) {
    Host host = gateways.get(at);
    for (Host.Attempt sent : host.attempts.subList(from, host.attempts.size())) {
      String server = sent.endpointId();
      double warmth = warmth(server, host.nowNanos, cold);
      if (Integer.parseInt(server.substring(1)) < cold) {
        ArrayDeque<Long> window = arrived.computeIfAbsent(server, key -> new ArrayDeque<>());
        window.add(host.nowNanos);
        while (window.peek() < host.nowNanos - SPAN) {
          window.poll();
        }
        double allowed = multiple * warmth * CORES * SPAN / 1e9 / WORK_S;
        most = Math.max(most, (window.size() - 2 * Math.sqrt(allowed) - 2) / allowed);
      }
      int inWork = held.merge(server, 1, Integer::sum);
      boolean fails = Integer.parseInt(server.substring(1)) < failing;
      double work = -WORK_S * Math.log(1 - random.nextDouble());
      double took =
          fails
              ? 0.002
              : inWork > MOST_HELD ? 0.001 : work * Math.max(1, inWork / (CORES * warmth));
      Outcome how =
          fails
              ? Outcome.ERROR
              : inWork > MOST_HELD
                  ? Outcome.REJECTED
                  : took * 1e9 > sent.timeoutNanos() ? Outcome.TIMEOUT : Outcome.OK;
      ends.add(
          new End(
              host.nowNanos + (long) Math.min(took * 1e9, sent.timeoutNanos()),
              at,
              sent.requestId(),
              server,
              host.nowNanos,
              how));
    }
  }

  /**
   * The most that a cold server was sent in a span, chance taken off, in parts of what it may be
   * sent.
   */
  private double play(int fleet, int cold, int failing, double load, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    gateways.clear();
    arrived.clear();
    held.clear();
    ends.clear();
    most = 0;
    // Beside warm ones a cold server gets no more than it can do; where none is warm, less than any
    // site lets it fall by.
    multiple = cold == SERVERS ? 2 : 1;
    double[] weights = new double[fleet];
    double sum = 0;
    for (int i = 0; i < fleet; i++) {
      gateways.add(new Host(Host.UNLIMITED_PLAN, fleet, i, false, random.nextLong(), false));
      weights[i] = Math.pow(random.nextDouble(), 2) + 0.1;
      sum += weights[i];
    }
    long nowNanos = gateways.get(0).nowNanos;
    began = Long.MAX_VALUE;
    double rate = load * SERVERS * CORES / WORK_S;
    long end = nowNanos + 12_000 * MS;
    long restart = nowNanos + 3_000 * MS;
    long tick = nowNanos;
    long next = nowNanos;
    while (nowNanos < end) {
      long ending = ends.isEmpty() ? Long.MAX_VALUE : ends.peek().at;
      nowNanos = Math.min(Math.min(tick, next), ending);
      if (nowNanos >= restart && began == Long.MAX_VALUE
          || began == Long.MAX_VALUE && tick == nowNanos && nowNanos == gateways.get(0).nowNanos) {
        boolean begins = nowNanos >= restart;
        began = begins ? nowNanos : began;
        list(nowNanos, begins ? cold : 0);
      }
      for (Host host : gateways) {
        host.nowNanos = nowNanos;
      }
      if (nowNanos == ending) {
        End done = ends.poll();
        held.merge(done.server, -1, Integer::sum);
        Host host = gateways.get(done.gateway);
        int from = host.attempts.size();
        host.policy.attemptEnded(
            nowNanos,
            new AttemptResult(
                done.id,
                done.how,
                nowNanos - done.sentAt,
                done.server,
                done.how == Outcome.OK,
                0,
                0,
                List.of()));
        carry(done.gateway, from, random, began <= nowNanos ? cold : 0, failing);
      } else if (nowNanos == next) {
        next = nowNanos - (long) (1e9 / rate * Math.log(1 - random.nextDouble()));
        double drawn = random.nextDouble() * sum;
        int at = 0;
        while (at < fleet - 1 && (drawn -= weights[at]) > 0) {
          at++;
        }
        int from = gateways.get(at).attempts.size();
        gateways.get(at).request(Host.IDEMPOTENT, 1);
        carry(at, from, random, began <= nowNanos ? cold : 0, failing);
      } else {
        tick = nowNanos + 10 * MS;
        for (int at = 0; at < fleet; at++) {
          int from = gateways.get(at).attempts.size();
          gateways.get(at).policy.timerFired(nowNanos, 0);
          carry(at, from, random, began <= nowNanos ? cold : 0, failing);
        }
      }
    }
    return most;
  }

  private void list(long nowNanos, int cold) {
    List<Endpoint> all = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      all.add(new Endpoint("s" + i, 1, 0, 0, 0, EndpointState.READY, i < cold ? began : 0));
    }
    for (Host host : gateways) {
      host.nowNanos = nowNanos;
      host.policy.endpointsUpdated(nowNanos, EndpointListKind.FULL, all);
    }
  }

  /** N calls are allowed, 2 x root of N + 2 are chance, however many processes send. */
  @Test
  void theFleetTogetherKeepsToWhatColdServersMayBeSent() {
    StringBuilder told = new StringBuilder();
    double worst = 0;
    for (int fleet : new int[] {2, 20, 30}) {
      for (int cold : new int[] {2, 10, SERVERS}) {
        for (int failing : new int[] {0, 1}) {
          for (double load : new double[] {0.3, 0.8}) {
            double part = 0;
            for (long seed = 1; seed <= 4; seed++) {
              part = Math.max(part, play(fleet, cold, failing, load, seed));
            }
            worst = Math.max(worst, part);
            told.append(
                String.format(
                    "%n%d gateways, %d of %d cold, %d failing, load %.1f: %.2f",
                    fleet, cold, SERVERS, failing, load, part));
          }
        }
      }
    }
    System.out.println(
        "sent to a cold server, in parts of what is allowed, chance taken off:" + told);
    assertTrue(worst <= 1, told.toString());
  }
}

package edgegateway.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.QuotaPlan;
import edgegateway.policy.api.Request;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * A fleet before a counter that bears far fewer calls than its gateways have requests
 * (docs/design/quota-counter.md).
 */
class CounterFleetTest {
  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;
  private static final long STEP = MS;
  private static final long WAY = MS;
  private static final long TIMEOUT = 50 * MS;
  private static final int GATEWAYS = 40;
  private static final int SPREAD = 3;
  private static final int CUSTOMERS = 74;
  private static final int RATE = 70;
  private static final int PARTS = 2;
  private static final int LINE = 100;
  private static final int SEEDS = 3;

  /** Some 15 calls a second for each gateway. */
  private static final double CALLS = 600;

  private static final int FROM_S = 8;
  private static final int UNTIL_S = 20;

  /**
   * 2 units a second and 10 at once; a customer asks for 0.95 a second, one in ten for four times
   * as much.
   */
  private static final QuotaPlan PLAN = new QuotaPlan(2, 10, 0, 1, 0, 1, 0, 0, 0);

  /** What comes back to a gateway. */
  private record Back(long at, Host host, long name, Outcome outcome, double total) {}

  /** What was seen from {@link #FROM_S} on. */
  private record Seen(int calls, int lost, int asked, int waited) {
    double lostShare() {
      return lost / (double) Math.max(1, calls);
    }

    double waitedShare() {
      return waited / (double) asked;
    }
  }

  /**
   * Each gateway's timer and the customers' requests by a chance of their own; all answers of
   * archive servers at once.
   */
  private static Seen play(long seed, double callsBorne) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Host> hosts = new ArrayList<>();
    long[] tick = new long[GATEWAYS];
    for (int i = 0; i < GATEWAYS; i++) {
      hosts.add(new Host(PLAN, GATEWAYS, i, true, random.nextLong(), false).addEndpoints(20));
      tick[i] = hosts.get(i).nowNanos + random.nextLong(10 * MS);
    }
    long start = hosts.get(0).nowNanos;
    long perCall = (long) (PARTS * SECOND / callsBorne);
    long[] busy = new long[PARTS];
    Map<Long, Double> totals = new HashMap<>();
    PriorityQueue<Back> backs = new PriorityQueue<>(Comparator.comparingLong(Back::at));
    int calls = 0;
    int lost = 0;
    int asked = 0;
    int waited = 0;
    int ids = 0;
    for (long nowNanos = start; nowNanos < start + UNTIL_S * SECOND; nowNanos += STEP) {
      boolean counts = nowNanos >= start + FROM_S * SECOND;
      for (Host host : hosts) {
        host.nowNanos = nowNanos;
      }
      while (!backs.isEmpty() && backs.peek().at <= nowNanos) {
        Back back = backs.poll();
        back.host.policy.counterReplied(nowNanos, back.name, back.outcome, back.total);
      }
      for (int i = 0; i < GATEWAYS; i++) {
        Host host = hosts.get(i);
        if (nowNanos >= tick[i]) {
          tick[i] += 10 * MS;
          host.policy.timerFired(nowNanos, 0);
        }
        if (random.nextDouble() < RATE * STEP * 1e-9) {
          long customer = customer(i, random);
          int before = host.attempts.size() + host.rejected.size();
          host.policy.requestReceived(
              nowNanos,
              new Request(
                  "q" + ids++,
                  Host.IDEMPOTENT,
                  0,
                  customer,
                  nowNanos + 3 * SECOND,
                  1,
                  SPREAD,
                  0,
                  false));
          asked += counts ? 1 : 0;
          waited += counts && host.attempts.size() + host.rejected.size() == before ? 1 : 0;
        }
        List.copyOf(host.attempts).forEach(s -> host.endAttempt(s.requestId(), Outcome.OK));
        host.attempts.clear();
        host.rejected.clear();
        for (Host.CounterCall call : host.counterCalls) {
          int part = Math.floorMod(Long.hashCode(call.key()), PARTS);
          calls += counts ? 1 : 0;
          Back back;
          if (busy[part] > nowNanos + LINE * perCall) {
            back = new Back(nowNanos + 2 * WAY, host, call.key(), Outcome.REJECTED, 0);
          } else {
            busy[part] = Math.max(busy[part], nowNanos + WAY) + perCall;
            double total = totals.merge(call.key(), call.amount(), Double::sum);
            boolean late = busy[part] + WAY > nowNanos + TIMEOUT;
            back =
                new Back(
                    late ? nowNanos + TIMEOUT : busy[part] + WAY,
                    host,
                    call.key(),
                    late ? Outcome.TIMEOUT : Outcome.OK,
                    total);
          }
          lost += counts && back.outcome != Outcome.OK ? 1 : 0;
          backs.add(back);
        }
        host.counterCalls.clear();
      }
    }
    return new Seen(calls, lost, asked, waited);
  }

  /**
   * One of those that come through this gateway, through two others as well; the first of the three
   * has most of it.
   */
  private static long customer(int gateway, SplittableRandom random) {
    int place = random.nextInt(11);
    int first = Math.floorMod(gateway - (place < 6 ? 0 : place < 9 ? 1 : 2), GATEWAYS);
    int of = random.nextInt(CUSTOMERS + 3 * CUSTOMERS / 10);
    return first * 1_000L + (of < CUSTOMERS ? of : of % (CUSTOMERS / 10));
  }

  /**
   * Budgets that grew by what was wanted, not by what was used, and saved up a second's calls,
   * hunted together.
   */
  @Test
  void aCrowdedCounterAnswersNearlyAllCalls() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Seen seen = play(seed, CALLS);
      double used = seen.calls / (CALLS * (UNTIL_S - FROM_S));
      System.out.printf(
          Locale.ROOT,
          "crowded counter, seed %d: %.2f of what it bears asked, %.3f of the calls lost, %.4f of the requests waited%n",
          seed,
          used,
          seen.lostShare(),
          seen.waitedShare());
      assertTrue(seen.lostShare() <= 0.1, "seed " + seed + ": lost " + seen.lostShare());
      assertTrue(
          used >= 0.5 && used <= 1, "seed " + seed + ": asked " + used + " of what it bears");
    }
  }

  /** The added time of 99 in 100 must not be the counter's. */
  @Test
  void fewRequestsWaitForACrowdedCounter() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Seen seen = play(seed, CALLS);
      assertTrue(seen.waitedShare() < 0.01, "seed " + seed + ": waited " + seen.waitedShare());
    }
  }

  /**
   * Units let in over all gateways in a silence, each of which had just heard that nothing is used.
   */
  private static double silence(int gateways, int seconds, double wanted, long seed) {
    QuotaPlan plan = new QuotaPlan(10, 30, 0, 1, 0, 1, 0, 0, 0);
    SplittableRandom random = new SplittableRandom(seed);
    List<Host> hosts = new ArrayList<>();
    for (int i = 0; i < gateways; i++) {
      Host host = new Host(plan, gateways, i, true, random.nextLong(), false).addEndpoints(20);
      host.request(Host.IDEMPOTENT, 1);
      for (int ms = 0; ms < 1_000; ms += 10) {
        host.advance(10 * MS);
        for (Host.CounterCall call : List.copyOf(host.counterCalls)) {
          host.policy.counterReplied(host.nowNanos, call.key(), Outcome.OK, 1);
        }
        host.counterCalls.clear();
      }
      host.attempts.clear();
      hosts.add(host);
    }
    int used = 0;
    for (int tick = 0; tick < 100 * seconds; tick++) {
      for (Host host : hosts) {
        host.advance(10 * MS);
        while (random.nextDouble() < wanted / 100) {
          host.request(Host.IDEMPOTENT, 1);
        }
        used += host.attempts.size();
        List.copyOf(host.attempts).forEach(s -> host.endAttempt(s.requestId(), Outcome.OK));
        host.attempts.clear();
        host.counterCalls.clear();
      }
    }
    return used;
  }

  /**
   * Each gateway lets in at most a burst and what comes anew by what it knew for one span (a burst
   * over the rate), and its part from then on: n (burst + rate x span) + burst + rate x T units for
   * n gateways and T seconds.
   */
  @Test
  void aSilenceLetsInABoundedNumberOfUnits() {
    for (int gateways : new int[] {2, 5, 20}) {
      for (int seconds : new int[] {3, 10, 30}) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          for (double wanted : new double[] {20, 60}) {
            double used = silence(gateways, seconds, wanted, seed);
            double bound = gateways * (30 + 10 * Math.min(seconds, 3)) + 30 + 10 * seconds;
            assertTrue(
                used <= bound,
                gateways
                    + " gateways, "
                    + seconds
                    + " s, seed "
                    + seed
                    + ": "
                    + used
                    + " of "
                    + bound);
            double later = seconds > 3 ? used - silence(gateways, 3, wanted, seed) : 0;
            // By its part of the rate and of the burst alone.
            assertTrue(
                later
                    <= 1.5 * 30
                        + Math.max(0, gateways * 4 - 30)
                        + 10 * (seconds - 3) * 1.05
                        + gateways,
                gateways
                    + " gateways, "
                    + seconds
                    + " s, seed "
                    + seed
                    + ": after the first span "
                    + later);
          }
        }
      }
    }
  }
}

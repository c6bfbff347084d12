package edgegateway.policy;

import static edgegateway.policy.Host.IDEMPOTENT;
import static edgegateway.policy.Host.MS;
import static edgegateway.policy.Host.NOT_IDEMPOTENT;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.policy.api.AttemptResult;
import edgegateway.policy.api.EndpointState;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.QuotaPlan;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The laws and the counter rule on their own terms. */
class MechanismTest {
  @Test
  void fairQueueServesByShare() {
    Host host = new Host(Host.UNLIMITED_PLAN, 1, 0).addEndpoints(1);
    Set<String> unsafe = new HashSet<>();
    for (int i = 0; i < 6; i++) {
      host.request(NOT_IDEMPOTENT, 1);
    }
    for (int i = 0; i < 30; i++) {
      unsafe.add(host.request(NOT_IDEMPOTENT, 1));
      if (i % 3 == 0) {
        host.request(IDEMPOTENT, 1);
      }
    }
    assertEquals(6, host.attempts.size(), "the operator's limit of one server");
    // As each ends the next is released. Worth 1 to 3: one safe for three unsafe.
    int ofUnsafe = 0;
    for (int next = 0; next < 24; next++) {
      host.endAttempt(host.attempts.get(next).requestId(), Outcome.OK);
      ofUnsafe += unsafe.contains(host.attempts.get(next + 6).requestId()) ? 1 : 0;
    }
    assertEquals(18, ofUnsafe, 2, "served by share within one round");
  }

  @Test
  void oneGatewayOfManyMayHaveOneOutAndRestsIfThatIsTooMany() {
    for (int siblings : new int[] {100, 240}) {
      Host host = new Host(Host.UNLIMITED_PLAN, siblings, 0).addEndpoints(20);
      String first = host.request(IDEMPOTENT, 1);
      host.request(IDEMPOTENT, 1);
      assertEquals(
          1,
          host.attempts.size(),
          "a hundred gateways with two out each would drown twenty servers");
      host.endAttempt(first, Outcome.OK);
      // 240 gateways have half a request each in flight: after 20 ms of work, 20 ms of rest.
      assertEquals(siblings == 100 ? 2 : 1, host.attempts.size());
      host.advance(30 * MS);
      assertEquals(2, host.attempts.size());
    }
  }

  /** A fleet half replaced once was sent as much as a warm one, and answered too late. */
  @Test
  void theLevelCountsAColdServerByWhatItCanDo() {
    for (long age : new long[] {0, 5_000 * MS, 11_000 * MS}) {
      Host host = new Host(Host.UNLIMITED_PLAN, 1, 0, false).addEndpoints(2);
      host.advance(20_000 * MS);
      for (int i = 0; i < 6; i++) {
        host.updateEndpoint("new-" + i, 0, EndpointState.READY, host.nowNanos - age);
      }
      for (int i = 0; i < 100; i++) {
        host.request(IDEMPOTENT, 1);
      }
      // Six for each of two and for what six can do: a quarter, five eighths, all.
      int most = age == 0 ? 21 : age < 10_000 * MS ? 35 : 48;
      assertTrue(
          host.attempts.size() >= most - 1 && host.attempts.size() <= most,
          age + ": " + host.attempts.size());
    }
  }

  @Test
  void attemptsThatNeverRanAreNotCharged() {
    Host host = new Host(Host.UNLIMITED_PLAN, 1, 0).addEndpoints(6);
    for (int i = 0; i < 60; i++) {
      String id = host.request(IDEMPOTENT, 1);
      host.endAttempt(id, Outcome.REJECTED, false);
      assertEquals(2, host.attemptsOf(id).size(), "request " + i);
      host.endAttempt(id, Outcome.OK);
    }
  }

  /** A counter that all gateways of a test share. */
  private static final class SharedCounter {
    private final Map<Long, Double> totals = new HashMap<>();

    void answer(List<Host> hosts) {
      for (Host host : hosts) {
        List<Host.CounterCall> calls = new ArrayList<>(host.counterCalls);
        host.counterCalls.clear();
        for (Host.CounterCall call : calls) {
          double total = totals.merge(call.key(), call.amount(), Double::sum);
          host.policy.counterReplied(host.nowNanos, call.key(), Outcome.OK, total);
        }
      }
    }
  }

  private static double heavyUse(boolean counterAnswers, int seconds) {
    QuotaPlan plan = new QuotaPlan(10, 30, 0, 1, 0, 1, 0, 0, 0);
    List<Host> hosts = new ArrayList<>();
    for (int me = 0; me < 3; me++) {
      hosts.add(new Host(plan, 3, me).addEndpoints(20));
    }
    SharedCounter counter = new SharedCounter();
    for (int tick = 0; tick < 100 * seconds; tick++) {
      for (Host host : hosts) {
        host.advance(10 * MS);
        if (tick % 5 == 0) {
          String id = host.request(IDEMPOTENT, 1);
          if (!host.attemptsOf(id).isEmpty()) {
            host.endAttempt(id, Outcome.OK);
          }
        }
      }
      if (counterAnswers) {
        counter.answer(hosts);
      }
    }
    return hosts.stream().mapToInt(host -> host.attempts.size()).sum();
  }

  @Test
  void aCustomerStaysInQuotaOverAllGateways() {
    // Asked for: 60 a second for 20 s. The quota holds 30 + 10 a second; the last totals are late.
    double used = heavyUse(true, 20);
    assertTrue(used <= 1.2 * (30 + 10 * 20), "used " + used);
    assertTrue(used >= 0.8 * (30 + 10 * 20), "used " + used);
  }

  @Test
  void withTheCounterSilentTheQuotaIsDivided() {
    double used = heavyUse(false, 20);
    // Each may have let the whole burst in before the silence is noticed.
    assertTrue(used <= 3 * 30 + 10 * 20, "used " + used);
    assertTrue(used >= 0.7 * (30 + 10 * 20), "used " + used);
  }

  @Test
  void aCustomerRefusedAfterTheOthersSpikeIsLetInAgain() {
    Host host = new Host(new QuotaPlan(10, 30, 0, 1, 0, 1, 0, 0, 0), 3, 0).addEndpoints(20);
    Map<Long, Double> totals = new HashMap<>();
    String last = "";
    int refusedInSpike = 0;
    for (int tick = 0; tick < 1500; tick++) {
      host.advance(10 * MS);
      if (tick % 20 == 0) {
        last = host.request(IDEMPOTENT, 1);
        host.attemptsOf(last).forEach(s -> host.endAttempt(s.requestId(), Outcome.OK));
      }
      for (Host.CounterCall call : List.copyOf(host.counterCalls)) {
        // For four seconds the others use far more than the rate, then nothing.
        double others = tick < 400 ? 600 : 0;
        double total = totals.merge(call.key(), call.amount() + others, Double::sum);
        host.policy.counterReplied(host.nowNanos, call.key(), Outcome.OK, total);
      }
      host.counterCalls.clear();
      refusedInSpike = tick == 300 ? host.rejected.size() : refusedInSpike;
    }
    assertTrue(refusedInSpike > 0, "the spike is seen");
    assertEquals(1, host.attemptsOf(last).size(), "let in once the store has filled");
  }

  @Test
  void callsKeepToABudget() {
    Host host = new Host(new QuotaPlan(10, 30, 0, 1, 0, 1, 0, 0, 0), 300, 0).addEndpoints(20);
    int most = 0;
    for (int tick = 0; tick < 500; tick++) {
      // A hundred customers at once, each never heard of; the counter turns every call away.
      if (tick % 100 == 0) {
        for (int customer = 0; customer < 100; customer++) {
          host.request(IDEMPOTENT, 0, 1000 * tick + customer, 2, host.nowNanos + 3000 * MS);
        }
      }
      host.advance(10 * MS);
      most = Math.max(most, host.counterCalls.size());
      List<Host.CounterCall> calls = List.copyOf(host.counterCalls);
      host.counterCalls.clear();
      calls.forEach(
          call -> host.policy.counterReplied(host.nowNanos, call.key(), Outcome.REJECTED, 0));
    }
    assertTrue(most >= 1 && most <= 2, "calls at one moment: " + most);
  }

  /** Cut to a call a second, the budget once took minutes to grow: it grew by so much an answer. */
  @Test
  void theBudgetOfCallsComesBackSoonAfterTheCounterDoes() {
    Host host = new Host(new QuotaPlan(10, 30, 0, 1, 0, 1, 0, 0, 0), 300, 0).addEndpoints(20);
    int late = 0;
    for (int tick = 0; tick < 1500; tick++) {
      // For five seconds every call is turned away; then all are answered at once.
      Outcome outcome = tick < 500 ? Outcome.REJECTED : Outcome.OK;
      for (int customer = 0; customer < 3; customer++) {
        host.request(IDEMPOTENT, 0, 3 * tick + customer, 2, host.nowNanos + 3000 * MS);
      }
      List.copyOf(host.attempts).forEach(s -> host.endAttempt(s.requestId(), Outcome.OK));
      host.attempts.clear();
      host.advance(10 * MS);
      late += tick >= 1300 ? host.counterCalls.size() : 0;
      List<Host.CounterCall> calls = List.copyOf(host.counterCalls);
      host.counterCalls.clear();
      calls.forEach(
          call -> host.policy.counterReplied(host.nowNanos, call.key(), outcome, call.amount()));
    }
    assertTrue(late >= 100, "calls in two seconds, eight after the counter is back: " + late);
  }

  /**
   * A long way to the counter once cut the budget to a call a second: each answer took over a third
   * of its time.
   */
  @Test
  void aLongWayToTheCounterIsNoQueue() {
    Host host = new Host(new QuotaPlan(10, 30, 0, 1, 0, 1, 0, 0, 0), 300, 0).addEndpoints(20);
    int late = 0;
    for (int tick = 0; tick < 500; tick++) {
      for (int customer = 0; customer < 3; customer++) {
        host.request(IDEMPOTENT, 0, 3 * tick + customer, 2, host.nowNanos + 3000 * MS);
      }
      List<Host.CounterCall> calls = List.copyOf(host.counterCalls);
      host.counterCalls.clear();
      host.advance(20 * MS);
      calls.forEach(
          call -> host.policy.counterReplied(host.nowNanos, call.key(), Outcome.OK, call.amount()));
      List.copyOf(host.attempts).forEach(s -> host.endAttempt(s.requestId(), Outcome.OK));
      host.attempts.clear();
      late += tick >= 400 ? calls.size() : 0;
    }
    assertTrue(late >= 40, "calls in the last two seconds of ten: " + late);
  }

  /** One part of a counter may be full while another answers at once. */
  @Test
  void callsTurnedAwayCutTheBudgetThoughOthersAreAnsweredAtOnce() {
    Host host = new Host(new QuotaPlan(10, 30, 0, 1, 0, 1, 0, 0, 0), 300, 0).addEndpoints(20);
    int late = 0;
    for (int tick = 0; tick < 500; tick++) {
      for (int customer = 0; customer < 3; customer++) {
        host.request(IDEMPOTENT, 0, 3 * tick + customer, 2, host.nowNanos + 3000 * MS);
      }
      List<Host.CounterCall> calls = List.copyOf(host.counterCalls);
      host.counterCalls.clear();
      host.advance(20 * MS);
      for (Host.CounterCall call : calls) {
        Outcome outcome = call.key() % 2 == 0 ? Outcome.REJECTED : Outcome.OK;
        host.policy.counterReplied(host.nowNanos, call.key(), outcome, call.amount());
      }
      List.copyOf(host.attempts).forEach(s -> host.endAttempt(s.requestId(), Outcome.OK));
      host.attempts.clear();
      late += tick >= 400 ? calls.size() : 0;
    }
    assertTrue(late >= 2 && late <= 40, "calls in the last two seconds of ten: " + late);
  }

  /**
   * Requests that fit into this gateway's part of a quota once had the calls that others needed.
   */
  @Test
  void scarceCallsGoToRequestsBeyondThisGatewaysPart() {
    Host host = new Host(new QuotaPlan(2, 20, 0, 1, 0, 1, 0, 0, 0), 10, 0).addEndpoints(20);
    int[] asked = new int[2];
    for (int customer = 0; customer < 500; customer++) {
      // 4 units at a time, of a part of 4: the second is beyond it.
      for (int i = 0; i < 2 && host.counterCalls.isEmpty(); i++) {
        host.request(IDEMPOTENT, 0, customer, 4, host.nowNanos + 3000 * MS);
        List.copyOf(host.attempts).forEach(s -> host.endAttempt(s.requestId(), Outcome.OK));
        host.attempts.clear();
        asked[i] += host.counterCalls.size();
      }
      host.advance(20 * MS);
      host.counterCalls.forEach(
          call -> host.policy.counterReplied(host.nowNanos, call.key(), Outcome.OK, call.amount()));
      host.counterCalls.clear();
    }
    assertTrue(asked[1] > asked[0], "calls by request: " + Arrays.toString(asked));
  }

  @Test
  void oneCallTurnedAwayAfterAPauseIsNoSilence() {
    Host host = new Host(new QuotaPlan(10, 30, 0, 1, 0, 1, 0, 0, 0), 3, 0).addEndpoints(20);
    host.advance(5000 * MS);
    host.request(IDEMPOTENT, 1);
    host.advance(10 * MS);
    host.policy.counterReplied(host.nowNanos, host.counterCalls.get(0).key(), Outcome.REJECTED, 0);
    assertEquals(List.of(), host.logs);
    host.advance(1000 * MS);
    assertTrue(
        host.logs.stream().anyMatch(line -> line.startsWith("counter_unreachable ")),
        "noticed: " + host.logs);
  }

  @Test
  void aCustomerNeverHeardOfIsAskedForFirst() {
    QuotaPlan plan = new QuotaPlan(10, 30, 0, 1, 0, 1, 0, 0, 0);
    for (double others : new double[] {0, 100}) {
      Host host = new Host(plan, 300, 0).addEndpoints(20);
      host.advance(1000 * MS);
      String id = host.request(IDEMPOTENT, 0, 7, 2, host.nowNanos + 3000 * MS);
      assertEquals(0, host.attempts.size(), "held until the total is there");
      Host.CounterCall call = host.counterCalls.get(0);
      host.policy.counterReplied(host.nowNanos, call.key(), Outcome.OK, call.amount() + others);
      assertEquals(others > 0 ? 0 : 1, host.attemptsOf(id).size());
      assertEquals(others > 0 ? 1 : 0, host.rejected.size());
    }
  }

  @Test
  void scarceCallsGoWhereMoreIsAtStake() {
    // So few gateways that no request waits in the queue, whose end would take its units back
    // untold.
    Host host = new Host(new QuotaPlan(10, 30, 0, 1, 0, 1, 0, 0, 0), 30, 0).addEndpoints(20);
    int[] calls = new int[5];
    int left = 0;
    for (int tick = 0; tick < 2000; tick++) {
      // Each customer once, of 1 or 4 units in turn; far more of them than calls.
      int units = tick % 2 == 0 ? 1 : 4;
      String id = host.request(IDEMPOTENT, 0, tick, units, host.nowNanos + 3000 * MS);
      host.advance(20 * MS);
      // The counter bears five calls a second and turns all others away.
      left = tick % 50 == 0 ? 5 : left;
      for (Host.CounterCall call : List.copyOf(host.counterCalls)) {
        calls[(int) Math.max(0, call.amount())]++;
        host.policy.counterReplied(
            host.nowNanos, call.key(), left-- > 0 ? Outcome.OK : Outcome.REJECTED, call.amount());
      }
      host.counterCalls.clear();
      host.attemptsOf(id).forEach(s -> host.endAttempt(s.requestId(), Outcome.OK));
    }
    assertTrue(calls[1] + calls[4] >= 100, "calls by units: " + Arrays.toString(calls));
    assertTrue(calls[4] > 2 * calls[1], "calls by units: " + Arrays.toString(calls));
  }

  @Test
  void aCallThatNeverEndsDoesNotHoldItsRequest() {
    Host host = new Host(new QuotaPlan(10, 30, 0, 1, 0, 1, 0, 0, 0), 3, 0).addEndpoints(20);
    host.advance(1000 * MS);
    String id = host.request(IDEMPOTENT, 1);
    host.advance(200 * MS);
    assertEquals(1, host.attemptsOf(id).size());
  }

  @Test
  void gatewaysThatKnowNothingSpreadOverTheFleet() {
    HashSet<String> used = new HashSet<>();
    for (int seed = 0; seed < 40; seed++) {
      Host host = new Host(Host.UNLIMITED_PLAN, 40, 0, true, seed, false).addEndpoints(20);
      host.request(IDEMPOTENT, 1);
      used.add(host.attempts.get(0).endpointId());
    }
    assertTrue(used.size() >= 12, "first requests of 40 gateways went to " + used);
  }

  @Test
  void aServerThatTellsNoLoadIsNotIdle() {
    Host host = new Host(Host.UNLIMITED_PLAN, 40, 0, true, 7, true).addEndpoints(2);
    List<Double> busy = List.of(4.0);
    for (List<Double> other : List.of(busy, List.<Double>of())) {
      for (int i = 0; i < 20; i++) {
        host.advance(1000 * MS);
        host.policy.healthChecked(host.nowNanos, "a", Outcome.OK, MS, other);
        host.policy.healthChecked(host.nowNanos, "b", Outcome.OK, MS, List.of(1.0));
        String id = host.request(IDEMPOTENT, 1);
        assertEquals("b", host.attemptsOf(id).get(0).endpointId(), "report of a: " + other);
        host.endAttempt(id, Outcome.OK);
      }
    }
    assertTrue(
        host.healthChecks.size() >= 20, "each request probes, where one's own answers are rare");
  }

  /** An attempt at a silent server once was waited for until its request was past its aim. */
  @Test
  void aSilentServerLeavesTimeForAnother() {
    Host host = new Host(Host.UNLIMITED_PLAN, 1, 0, false).addEndpoints(4);
    for (int i = 0; i < 300; i++) {
      String id = host.request(IDEMPOTENT, 1);
      host.advance(20 * MS);
      host.endAttempt(id, Outcome.OK);
    }
    String id = host.request(IDEMPOTENT, 1);
    long patience = host.attemptsOf(id).get(0).timeoutNanos();
    assertTrue(patience < 300 * MS, "waits " + patience);
    host.advance(patience);
    host.endAttempt(id, Outcome.TIMEOUT);
    assertEquals(2, host.attemptsOf(id).size());
    assertTrue(
        host.attemptsOf(id).get(1).timeoutNanos() > 600 * MS,
        "the second may take what time is left");
    String unsafe = host.request(Host.NOT_IDEMPOTENT, 1);
    assertTrue(host.attemptsOf(unsafe).get(0).timeoutNanos() > 900 * MS, "it cannot be sent again");
  }

  @Test
  void oddInputIsAnswered() {
    Host host = new Host(Host.UNLIMITED_PLAN, 1, 0, false);
    host.request(9, 1);
    host.request(IDEMPOTENT, 5, 1, 1, host.nowNanos + 3000 * MS);
    assertEquals(2, host.rejected.size());
    host.policy.attemptEnded(
        host.nowNanos, new AttemptResult("nobody", Outcome.OK, 1, "x", true, 0, 0, List.of()));
    host.policy.clientDisconnected(host.nowNanos, "nobody");
    host.policy.counterReplied(host.nowNanos, 5, Outcome.OK, 3);
    host.policy.healthChecked(host.nowNanos, "nobody", Outcome.TIMEOUT, 1, List.of(1.0, 2.0));
    host.addEndpoints(1);
    host.request(IDEMPOTENT, 0);
    assertEquals(1, host.attempts.size());
  }

  /**
   * A process that takes an edge node over goes on where the other was, and under a ceiling the two
   * are one.
   */
  @Test
  void whoTakesOverGoesOnUnderTheCeilingOfBoth() {
    QuotaPlan plan = new QuotaPlan(0, 0, 0, 1, 0, 0, 4, 20, 2);
    Host old = new Host(plan, 2, 0, false).addEndpoints(4);
    old.advance(10_000 * MS);
    int sent = 0;
    for (int i = 0; i < 4; i++) {
      sent += served(old);
    }
    Host next = new Host(plan, 2, 0, false).addEndpoints(4);
    Host alone = new Host(plan, 2, 0, false).addEndpoints(4);
    assertEquals(0, served(alone), "with nothing told, a ceiling begins at nothing");
    next.policy.importState(next.nowNanos, old.policy.exportState(old.nowNanos));
    int after = 0;
    for (int i = 0; i < 40; i++) {
      after += served(old) + served(next);
    }
    assertTrue(after > 0, "what is told is used");
    assertTrue(
        sent + after <= 20 / 2 + 1,
        "this node's part of the ceiling's burst: " + sent + " + " + after);
  }

  private static int served(Host host) {
    String id = host.request(IDEMPOTENT, 1);
    if (host.attemptsOf(id).isEmpty()) {
      return 0;
    }
    host.endAttempt(id, Outcome.OK);
    return 1;
  }
}

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

/**
 * Behaviour of single mechanisms of the policy: fair queue, concurrency limit, quota counter,
 * endpoint selection, attempt timeouts and state transfer.
 */
class MechanismTest {
  @Test
  void fairQueueServesClassesInProportionToTheirWeights() {
    Host host = new Host(Host.UNLIMITED_PLAN, 1, 0).addEndpoints(1);
    Set<String> notIdempotent = new HashSet<>();
    for (int i = 0; i < 6; i++) {
      host.request(NOT_IDEMPOTENT, 1);
    }
    for (int i = 0; i < 30; i++) {
      notIdempotent.add(host.request(NOT_IDEMPOTENT, 1));
      if (i % 3 == 0) {
        host.request(IDEMPOTENT, 1);
      }
    }
    assertEquals(6, host.attempts.size(), "the concurrency limit with one endpoint");
    // Each end of an attempt releases the next request. The weights are 1 and 3: one idempotent
    // request for three others.
    int notIdempotentSent = 0;
    for (int next = 0; next < 24; next++) {
      host.endAttempt(host.attempts.get(next).requestId(), Outcome.OK);
      notIdempotentSent += notIdempotent.contains(host.attempts.get(next + 6).requestId()) ? 1 : 0;
    }
    assertEquals(18, notIdempotentSent, 2, "in proportion to the weights, within one round");
  }

  @Test
  void withManyNodesEachHasOneAttemptInFlightAndPausesIfTheLimitIsBelowOne() {
    for (int nodeCount : new int[] {100, 240}) {
      Host host = new Host(Host.UNLIMITED_PLAN, nodeCount, 0).addEndpoints(20);
      String first = host.request(IDEMPOTENT, 1);
      host.request(IDEMPOTENT, 1);
      assertEquals(
          1, host.attempts.size(), "two attempts of each of 100 nodes would overload 20 endpoints");
      host.endAttempt(first, Outcome.OK);
      // With 240 nodes the limit is half an attempt each: after an attempt of 20 ms, a pause of
      // 20 ms.
      assertEquals(nodeCount == 100 ? 2 : 1, host.attempts.size());
      host.advance(30 * MS);
      assertEquals(2, host.attempts.size());
    }
  }

  /**
   * Guards against overload after a deployment: endpoints in slow start were counted in full in the
   * concurrency limit, and a fleet half of which had been replaced answered too late.
   */
  @Test
  void theConcurrencyLimitCountsEndpointsInSlowStartByTheirFraction() {
    for (long ageNanos : new long[] {0, 5_000 * MS, 11_000 * MS}) {
      Host host = new Host(Host.UNLIMITED_PLAN, 1, 0, false).addEndpoints(2);
      host.advance(20_000 * MS);
      for (int i = 0; i < 6; i++) {
        host.updateEndpoint("new-" + i, 0, EndpointState.READY, host.nowNanos - ageNanos);
      }
      for (int i = 0; i < 100; i++) {
        host.request(IDEMPOTENT, 1);
      }
      // Six attempts for each of two endpoints, and for each of six the fraction of six that it has
      // in slow start: a quarter, five eighths, all.
      int maxAttempts = ageNanos == 0 ? 21 : ageNanos < 10_000 * MS ? 35 : 48;
      assertTrue(
          host.attempts.size() >= maxAttempts - 1 && host.attempts.size() <= maxAttempts,
          ageNanos + " ns after the start: " + host.attempts.size());
    }
  }

  @Test
  void retriesOfAttemptsThatNeverRanDoNotUseTheRetryBudget() {
    Host host = new Host(Host.UNLIMITED_PLAN, 1, 0).addEndpoints(6);
    for (int i = 0; i < 60; i++) {
      String id = host.request(IDEMPOTENT, 1);
      host.endAttempt(id, Outcome.REJECTED, false);
      assertEquals(2, host.attemptsOf(id).size(), "request " + i);
      host.endAttempt(id, Outcome.OK);
    }
  }

  /** A counter that all nodes of a test share; it answers at once. */
  private static final class SharedCounter {
    private final Map<Long, Double> totals = new HashMap<>();

    void replyToAll(List<Host> hosts) {
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

  /**
   * Returns the requests, of one unit each, that three nodes forward for a customer who sends each
   * of them 20 a second. The quota is 10 units a second and a burst of 30.
   */
  private static double unitsAdmittedUnderHeavyUse(boolean counterAnswers, int seconds) {
    QuotaPlan plan = new QuotaPlan(10, 30, 0, 1, 0, 1, 0, 0, 0);
    List<Host> hosts = new ArrayList<>();
    for (int node = 0; node < 3; node++) {
      hosts.add(new Host(plan, 3, node).addEndpoints(20));
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
        counter.replyToAll(hosts);
      }
    }
    return hosts.stream().mapToInt(host -> host.attempts.size()).sum();
  }

  @Test
  void aCustomerStaysWithinItsQuotaOverAllNodes() {
    // 60 units a second are requested for 20 s. The quota allows 30 + 10 a second; admissions since
    // the last report to the counter are not yet known to the other nodes.
    double admitted = unitsAdmittedUnderHeavyUse(true, 20);
    assertTrue(admitted <= 1.2 * (30 + 10 * 20), "admitted " + admitted);
    assertTrue(admitted >= 0.8 * (30 + 10 * 20), "admitted " + admitted);
  }

  @Test
  void withoutCounterRepliesEachNodeUsesItsShareOfTheQuota() {
    double admitted = unitsAdmittedUnderHeavyUse(false, 20);
    // Each node may admit the whole burst before it notices that the counter does not reply.
    assertTrue(admitted <= 3 * 30 + 10 * 20, "admitted " + admitted);
    assertTrue(admitted >= 0.7 * (30 + 10 * 20), "admitted " + admitted);
  }

  @Test
  void aCustomerRejectedDuringASpikeAtOtherNodesIsAdmittedAfterIt() {
    Host host = new Host(new QuotaPlan(10, 30, 0, 1, 0, 1, 0, 0, 0), 3, 0).addEndpoints(20);
    Map<Long, Double> totals = new HashMap<>();
    String last = "";
    int rejectedInSpike = 0;
    for (int tick = 0; tick < 1500; tick++) {
      host.advance(10 * MS);
      if (tick % 20 == 0) {
        last = host.request(IDEMPOTENT, 1);
        host.attemptsOf(last).forEach(a -> host.endAttempt(a.requestId(), Outcome.OK));
      }
      for (Host.CounterCall call : List.copyOf(host.counterCalls)) {
        // For 4 s the customer uses far more than its rate through the other nodes, then nothing.
        double remoteUnits = tick < 400 ? 600 : 0;
        double total = totals.merge(call.key(), call.amount() + remoteUnits, Double::sum);
        host.policy.counterReplied(host.nowNanos, call.key(), Outcome.OK, total);
      }
      host.counterCalls.clear();
      rejectedInSpike = tick == 300 ? host.rejected.size() : rejectedInSpike;
    }
    assertTrue(rejectedInSpike > 0, "rejected during the spike");
    assertEquals(1, host.attemptsOf(last).size(), "admitted once the token bucket has refilled");
  }

  @Test
  void counterCallsStayWithinTheirBudget() {
    Host host = new Host(new QuotaPlan(10, 30, 0, 1, 0, 1, 0, 0, 0), 300, 0).addEndpoints(20);
    int maxCallsPerTick = 0;
    for (int tick = 0; tick < 500; tick++) {
      // 100 requests at once, each of a customer without known usage; the counter rejects all
      // calls.
      if (tick % 100 == 0) {
        for (int customer = 0; customer < 100; customer++) {
          host.request(IDEMPOTENT, 0, 1000 * tick + customer, 2, host.nowNanos + 3000 * MS);
        }
      }
      host.advance(10 * MS);
      maxCallsPerTick = Math.max(maxCallsPerTick, host.counterCalls.size());
      List<Host.CounterCall> calls = List.copyOf(host.counterCalls);
      host.counterCalls.clear();
      calls.forEach(
          call -> host.policy.counterReplied(host.nowNanos, call.key(), Outcome.REJECTED, 0));
    }
    assertTrue(
        maxCallsPerTick >= 1 && maxCallsPerTick <= 2, "calls in one tick: " + maxCallsPerTick);
  }

  /**
   * Guards against a slow recovery of the call budget: it once grew by a fixed amount per reply,
   * and from one call a second that took minutes.
   */
  @Test
  void theCallBudgetRecoversSoonAfterTheCounter() {
    Host host = new Host(new QuotaPlan(10, 30, 0, 1, 0, 1, 0, 0, 0), 300, 0).addEndpoints(20);
    int callsAtEnd = 0;
    for (int tick = 0; tick < 1500; tick++) {
      // For 5 s every call is rejected; then all are answered at once.
      Outcome outcome = tick < 500 ? Outcome.REJECTED : Outcome.OK;
      for (int customer = 0; customer < 3; customer++) {
        host.request(IDEMPOTENT, 0, 3 * tick + customer, 2, host.nowNanos + 3000 * MS);
      }
      List.copyOf(host.attempts).forEach(a -> host.endAttempt(a.requestId(), Outcome.OK));
      host.attempts.clear();
      host.advance(10 * MS);
      callsAtEnd += tick >= 1300 ? host.counterCalls.size() : 0;
      List<Host.CounterCall> calls = List.copyOf(host.counterCalls);
      host.counterCalls.clear();
      calls.forEach(
          call -> host.policy.counterReplied(host.nowNanos, call.key(), outcome, call.amount()));
    }
    assertTrue(
        callsAtEnd >= 100, "calls in 2 s, from 8 s after the counter's recovery: " + callsAtEnd);
  }

  /**
   * Guards against taking network delay for queueing at the counter: a round trip of 20 ms, more
   * than a third of the timeout, once reduced the budget to one call a second.
   */
  @Test
  void aLongRoundTripToTheCounterDoesNotReduceTheCallBudget() {
    Host host = new Host(new QuotaPlan(10, 30, 0, 1, 0, 1, 0, 0, 0), 300, 0).addEndpoints(20);
    int callsAtEnd = 0;
    for (int tick = 0; tick < 500; tick++) {
      for (int customer = 0; customer < 3; customer++) {
        host.request(IDEMPOTENT, 0, 3 * tick + customer, 2, host.nowNanos + 3000 * MS);
      }
      List<Host.CounterCall> calls = List.copyOf(host.counterCalls);
      host.counterCalls.clear();
      host.advance(20 * MS);
      calls.forEach(
          call -> host.policy.counterReplied(host.nowNanos, call.key(), Outcome.OK, call.amount()));
      List.copyOf(host.attempts).forEach(a -> host.endAttempt(a.requestId(), Outcome.OK));
      host.attempts.clear();
      callsAtEnd += tick >= 400 ? calls.size() : 0;
    }
    assertTrue(callsAtEnd >= 40, "calls in the last 2 s of 10 s: " + callsAtEnd);
  }

  /** One partition of the counter may be overloaded while another answers at once. */
  @Test
  void rejectedCallsReduceTheCallBudgetEvenIfOthersAreAnsweredAtOnce() {
    Host host = new Host(new QuotaPlan(10, 30, 0, 1, 0, 1, 0, 0, 0), 300, 0).addEndpoints(20);
    int callsAtEnd = 0;
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
      List.copyOf(host.attempts).forEach(a -> host.endAttempt(a.requestId(), Outcome.OK));
      host.attempts.clear();
      callsAtEnd += tick >= 400 ? calls.size() : 0;
    }
    assertTrue(callsAtEnd >= 2 && callsAtEnd <= 40, "calls in the last 2 s of 10 s: " + callsAtEnd);
  }

  /**
   * Guards against wasted calls: requests that fitted into this node's share of a quota once used
   * up the calls that requests over that share needed.
   */
  @Test
  void scarceCallsGoToRequestsOverThisNodesShare() {
    Host host = new Host(new QuotaPlan(2, 20, 0, 1, 0, 1, 0, 0, 0), 10, 0).addEndpoints(20);
    int[] callsByRequest = new int[2];
    for (int customer = 0; customer < 500; customer++) {
      // Each request takes 4 units, and the node's share is 4: the second request is over it.
      for (int i = 0; i < 2 && host.counterCalls.isEmpty(); i++) {
        host.request(IDEMPOTENT, 0, customer, 4, host.nowNanos + 3000 * MS);
        List.copyOf(host.attempts).forEach(a -> host.endAttempt(a.requestId(), Outcome.OK));
        host.attempts.clear();
        callsByRequest[i] += host.counterCalls.size();
      }
      host.advance(20 * MS);
      host.counterCalls.forEach(
          call -> host.policy.counterReplied(host.nowNanos, call.key(), Outcome.OK, call.amount()));
      host.counterCalls.clear();
    }
    assertTrue(
        callsByRequest[1] > callsByRequest[0],
        "calls by request: " + Arrays.toString(callsByRequest));
  }

  @Test
  void oneRejectedCallAfterAnIdlePeriodDoesNotMakeTheCounterUnreachable() {
    Host host = new Host(new QuotaPlan(10, 30, 0, 1, 0, 1, 0, 0, 0), 3, 0).addEndpoints(20);
    host.advance(5000 * MS);
    host.request(IDEMPOTENT, 1);
    host.advance(10 * MS);
    host.policy.counterReplied(host.nowNanos, host.counterCalls.get(0).key(), Outcome.REJECTED, 0);
    assertEquals(List.of(), host.logs);
    host.advance(1000 * MS);
    assertTrue(
        host.logs.stream().anyMatch(line -> line.startsWith("counter_unreachable ")),
        "logged: " + host.logs);
  }

  @Test
  void aCustomerWithoutKnownUsageIsAdmittedOnlyAfterTheCounterReplies() {
    QuotaPlan plan = new QuotaPlan(10, 30, 0, 1, 0, 1, 0, 0, 0);
    for (double remoteUnits : new double[] {0, 100}) {
      Host host = new Host(plan, 300, 0).addEndpoints(20);
      host.advance(1000 * MS);
      String id = host.request(IDEMPOTENT, 0, 7, 2, host.nowNanos + 3000 * MS);
      assertEquals(0, host.attempts.size(), "waits for the total");
      Host.CounterCall call = host.counterCalls.get(0);
      host.policy.counterReplied(
          host.nowNanos, call.key(), Outcome.OK, call.amount() + remoteUnits);
      assertEquals(remoteUnits > 0 ? 0 : 1, host.attemptsOf(id).size());
      assertEquals(remoteUnits > 0 ? 1 : 0, host.rejected.size());
    }
  }

  @Test
  void scarceCallsGoToRequestsOfHigherPriority() {
    // With 30 nodes no request waits in the queue: one that was rejected from there would take its
    // units back before they were reported.
    Host host = new Host(new QuotaPlan(10, 30, 0, 1, 0, 1, 0, 0, 0), 30, 0).addEndpoints(20);
    int[] callsByUnits = new int[5];
    int remainingCalls = 0;
    for (int tick = 0; tick < 2000; tick++) {
      // One request of each customer, of 1 and 4 units in turn: far more requests than calls.
      int units = tick % 2 == 0 ? 1 : 4;
      String id = host.request(IDEMPOTENT, 0, tick, units, host.nowNanos + 3000 * MS);
      host.advance(20 * MS);
      // The counter answers five calls a second and rejects all others.
      remainingCalls = tick % 50 == 0 ? 5 : remainingCalls;
      for (Host.CounterCall call : List.copyOf(host.counterCalls)) {
        callsByUnits[(int) Math.max(0, call.amount())]++;
        host.policy.counterReplied(
            host.nowNanos,
            call.key(),
            remainingCalls-- > 0 ? Outcome.OK : Outcome.REJECTED,
            call.amount());
      }
      host.counterCalls.clear();
      host.attemptsOf(id).forEach(a -> host.endAttempt(a.requestId(), Outcome.OK));
    }
    assertTrue(
        callsByUnits[1] + callsByUnits[4] >= 100,
        "calls by units: " + Arrays.toString(callsByUnits));
    assertTrue(
        callsByUnits[4] > 2 * callsByUnits[1], "calls by units: " + Arrays.toString(callsByUnits));
  }

  @Test
  void aCounterCallThatNeverEndsDoesNotBlockItsRequest() {
    Host host = new Host(new QuotaPlan(10, 30, 0, 1, 0, 1, 0, 0, 0), 3, 0).addEndpoints(20);
    host.advance(1000 * MS);
    String id = host.request(IDEMPOTENT, 1);
    host.advance(200 * MS);
    assertEquals(1, host.attemptsOf(id).size());
  }

  @Test
  void newNodesSpreadTheirFirstRequestsOverTheEndpoints() {
    HashSet<String> endpoints = new HashSet<>();
    for (int seed = 0; seed < 40; seed++) {
      Host host = new Host(Host.UNLIMITED_PLAN, 40, 0, true, seed, false).addEndpoints(20);
      host.request(IDEMPOTENT, 1);
      endpoints.add(host.attempts.get(0).endpointId());
    }
    assertTrue(endpoints.size() >= 12, "first requests of 40 nodes went to " + endpoints);
  }

  @Test
  void anEndpointThatReportsNoLoadIsNotTakenForIdle() {
    Host host = new Host(Host.UNLIMITED_PLAN, 40, 0, true, 7, true).addEndpoints(2);
    List<Double> busyReport = List.of(4.0);
    for (List<Double> report : List.of(busyReport, List.<Double>of())) {
      for (int i = 0; i < 20; i++) {
        host.advance(1000 * MS);
        host.policy.healthChecked(host.nowNanos, "a", Outcome.OK, MS, report);
        host.policy.healthChecked(host.nowNanos, "b", Outcome.OK, MS, List.of(1.0));
        String id = host.request(IDEMPOTENT, 1);
        assertEquals("b", host.attemptsOf(id).get(0).endpointId(), "report of a: " + report);
        host.endAttempt(id, Outcome.OK);
      }
    }
    assertTrue(
        host.healthChecks.size() >= 20,
        "a node with few answers of its own checks an endpoint's health with each request");
  }

  /**
   * Guards against an attempt at an unresponsive endpoint that is waited for until its request has
   * missed its latency objective.
   */
  @Test
  void anAttemptAtAnUnresponsiveEndpointLeavesTimeForARetry() {
    Host host = new Host(Host.UNLIMITED_PLAN, 1, 0, false).addEndpoints(4);
    for (int i = 0; i < 300; i++) {
      String id = host.request(IDEMPOTENT, 1);
      host.advance(20 * MS);
      host.endAttempt(id, Outcome.OK);
    }
    String id = host.request(IDEMPOTENT, 1);
    long timeoutNanos = host.attemptsOf(id).get(0).timeoutNanos();
    assertTrue(timeoutNanos < 300 * MS, "first timeout in ns: " + timeoutNanos);
    host.advance(timeoutNanos);
    host.endAttempt(id, Outcome.TIMEOUT);
    assertEquals(2, host.attemptsOf(id).size());
    assertTrue(
        host.attemptsOf(id).get(1).timeoutNanos() > 600 * MS,
        "the retry may take all of the time left");
    String notIdempotent = host.request(NOT_IDEMPOTENT, 1);
    assertTrue(
        host.attemptsOf(notIdempotent).get(0).timeoutNanos() > 900 * MS, "it may not be retried");
  }

  @Test
  void requestsOfUnknownClassOrPlanAreRejectedAndUnknownIdsIgnored() {
    Host host = new Host(Host.UNLIMITED_PLAN, 1, 0, false);
    host.request(9, 1);
    host.request(IDEMPOTENT, 5, 1, 1, host.nowNanos + 3000 * MS);
    assertEquals(2, host.rejected.size());
    host.policy.attemptEnded(
        host.nowNanos, new AttemptResult("unknown", Outcome.OK, 1, "x", true, 0, 0, List.of()));
    host.policy.clientDisconnected(host.nowNanos, "unknown");
    host.policy.counterReplied(host.nowNanos, 5, Outcome.OK, 3);
    host.policy.healthChecked(host.nowNanos, "unknown", Outcome.TIMEOUT, 1, List.of(1.0, 2.0));
    host.addEndpoints(1);
    host.request(IDEMPOTENT, 0);
    assertEquals(1, host.attempts.size());
  }

  /**
   * A process that takes over from another one continues with its state, and the two together stay
   * within this node's share of a ceiling.
   */
  @Test
  void anUpgradeKeepsTheOldAndTheNewProcessWithinOneCeiling() {
    QuotaPlan plan = new QuotaPlan(0, 0, 0, 1, 0, 0, 4, 20, 2);
    Host oldProcess = new Host(plan, 2, 0, false).addEndpoints(4);
    oldProcess.advance(10_000 * MS);
    int servedBefore = 0;
    for (int i = 0; i < 4; i++) {
      servedBefore += serve(oldProcess);
    }
    Host newProcess = new Host(plan, 2, 0, false).addEndpoints(4);
    Host withoutState = new Host(plan, 2, 0, false).addEndpoints(4);
    assertEquals(0, serve(withoutState), "without the state a ceiling starts with no units");
    newProcess.policy.importState(
        newProcess.nowNanos, oldProcess.policy.exportState(oldProcess.nowNanos));
    int servedAfter = 0;
    for (int i = 0; i < 40; i++) {
      servedAfter += serve(oldProcess) + serve(newProcess);
    }
    assertTrue(servedAfter > 0, "the transferred units are used");
    assertTrue(
        servedBefore + servedAfter <= 20 / 2 + 1,
        "this node's share of the ceiling's burst: " + servedBefore + " + " + servedAfter);
  }

  /** Sends a request; returns 1 if it was forwarded, and answers it, else 0. */
  private static int serve(Host host) {
    String id = host.request(IDEMPOTENT, 1);
    if (host.attemptsOf(id).isEmpty()) {
      return 0;
    }
    host.endAttempt(id, Outcome.OK);
    return 1;
  }
}

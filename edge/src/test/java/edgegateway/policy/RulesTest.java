package edgegateway.policy;

import static edgegateway.policy.Host.IDEMPOTENT;
import static edgegateway.policy.Host.KEYED_ALL;
import static edgegateway.policy.Host.KEYED_CELL;
import static edgegateway.policy.Host.MS;
import static edgegateway.policy.Host.NOT_IDEMPOTENT;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.policy.api.EndpointListKind;
import edgegateway.policy.api.EndpointState;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.QuotaPlan;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The five rules at their edges. */
class RulesTest {
  private final Host host = new Host(Host.UNLIMITED_PLAN, 3, 0);

  @Test
  void queuedPastItsTimeIsRefusedBeforeTheDeadline() {
    String id = host.request(IDEMPOTENT, 1);
    assertEquals(List.of(), host.attempts);
    host.advance(1000 * MS);
    assertEquals(List.of(id), host.rejected);
  }

  @Test
  void shortDeadlineBehindALongOneIsAnsweredToo() {
    Host full = new Host(Host.UNLIMITED_PLAN, 1, 0).addEndpoints(1);
    for (int i = 0; i < 6; i++) {
      full.request(IDEMPOTENT, 1);
    }
    full.request(IDEMPOTENT, 0, 1, 1, full.nowNanos + 3000 * MS);
    String hurried = full.request(IDEMPOTENT, 0, 1, 1, full.nowNanos + 300 * MS);
    full.advance(300 * MS);
    assertEquals(List.of(hurried), full.rejected);
  }

  @Test
  void arrivingWithNoTimeLeftIsAnsweredAtOnce() {
    host.addEndpoints(1);
    String id = host.request(IDEMPOTENT, 0, 1, 1, host.nowNanos + MS);
    assertEquals(List.of(id), host.rejected);
    assertEquals(List.of(), host.attempts);
  }

  @Test
  void timeOutAtTheDeadlineStillOwesTheAnswer() {
    host.addEndpoints(1);
    String id = host.request(NOT_IDEMPOTENT, 1);
    host.nowNanos += 3000 * MS;
    host.endAttempt(id, Outcome.TIMEOUT, false);
    assertEquals(List.of(id), host.failed);
    assertEquals(List.of(), host.rejected);
  }

  @Test
  void nothingFollowsWhenTheClientIsGone() {
    host.addEndpoints(2);
    String id = host.request(IDEMPOTENT, 1);
    host.policy.clientDisconnected(host.nowNanos, id);
    host.endAttempt(id, Outcome.ERROR, true);
    host.advance(2000 * MS);
    assertEquals(1, host.attemptsOf(id).size());
    assertEquals(List.of(), host.rejected);
    assertEquals(List.of(), host.failed);
  }

  /** In whichever state its client leaves, and however what was under way then ends. */
  @ParameterizedTest
  @EnumSource(Outcome.class)
  void nothingBeginsForAClientThatLeftInAnyState(Outcome outcome) {
    for (int requestClass : new int[] {IDEMPOTENT, NOT_IDEMPOTENT, KEYED_ALL}) {
      clientLeavesDuringAnAttempt(requestClass, outcome);
      clientLeavesDuringACounterCall(requestClass, outcome);
      clientLeavesWhileQueued(requestClass, outcome);
    }
  }

  /** An attempt is out, the first or a further one. */
  private static void clientLeavesDuringAnAttempt(int requestClass, Outcome outcome) {
    Host out = new Host(Host.UNLIMITED_PLAN, 1, 0).addEndpoints(4);
    String first = out.request(requestClass, 1);
    String further = out.request(requestClass, 1);
    out.endAttempt(further, Outcome.REJECTED, false);
    out.policy.clientDisconnected(out.nowNanos, first);
    out.policy.clientDisconnected(out.nowNanos, further);
    int sent = out.attempts.size();
    out.endAttempt(first, outcome, false);
    out.endAttempt(further, outcome, false);
    out.advance(4_000 * MS);
    assertEquals(sent, out.attempts.size(), outcome + " of an attempt");
  }

  /** The counter is asked. */
  private static void clientLeavesDuringACounterCall(int requestClass, Outcome outcome) {
    Host asking = new Host(new QuotaPlan(5, 5, 0, 1, 0, 1, 0, 0, 0), 2, 0).addEndpoints(4);
    String asked = asking.request(requestClass, 0, 1, 1, asking.nowNanos + 3_000 * MS);
    for (long customer = 2; !asking.attemptsOf(asked).isEmpty(); customer++) {
      asking.endAttempt(asked, Outcome.OK);
      asking.advance(1_000 * MS);
      asking.counterCalls.clear();
      asked = asking.request(requestClass, 0, customer, 1, asking.nowNanos + 3_000 * MS);
    }
    asking.policy.clientDisconnected(asking.nowNanos, asked);
    asking.policy.counterReplied(
        asking.nowNanos, asking.counterCalls.get(asking.counterCalls.size() - 1).key(), outcome, 1);
    asking.advance(4_000 * MS);
    assertEquals(List.of(), asking.attemptsOf(asked), outcome + " of a call");
    assertFalse(asking.rejected.contains(asked));
  }

  /** It waits in its queue, and places come free. */
  private static void clientLeavesWhileQueued(int requestClass, Outcome outcome) {
    Host queued = new Host(Host.UNLIMITED_PLAN, 1, 0).addEndpoints(1);
    List<String> before = new ArrayList<>();
    String waits = queued.request(requestClass, 1);
    while (!queued.attemptsOf(waits).isEmpty()) {
      before.add(waits);
      waits = queued.request(requestClass, 1);
    }
    queued.policy.clientDisconnected(queued.nowNanos, waits);
    before.forEach(id -> queued.endAttempt(id, outcome, true));
    queued.advance(4_000 * MS);
    assertEquals(List.of(), queued.attemptsOf(waits), outcome + " of those before it");
  }

  @ParameterizedTest
  @EnumSource(
      value = Outcome.class,
      names = {"OK"},
      mode = EnumSource.Mode.EXCLUDE)
  void unsafeGoesOutAgainOnlyWhenItNeverRan(Outcome outcome) {
    host.addEndpoints(3);
    String id = host.request(NOT_IDEMPOTENT, 1);
    host.endAttempt(id, outcome, false);
    if (outcome.provesNotExecuted()) {
      assertEquals(2, host.attemptsOf(id).size());
    } else {
      assertEquals(1, host.attemptsOf(id).size());
      assertEquals(List.of(id), host.failed);
      assertFalse(host.rejected.contains(id));
    }
  }

  @Test
  void keyedStaysInItsCell() {
    host.addEndpoints(4);
    String id = host.request(KEYED_CELL, 1);
    host.endAttempt(id, Outcome.ERROR, false);
    List<Host.Attempt> attempts = host.attemptsOf(id);
    assertEquals(2, attempts.size());
    assertNotEquals(attempts.get(0).endpointId(), attempts.get(1).endpointId());
    assertEquals(
        attempts.get(0).endpointId().charAt(0) % 2, attempts.get(1).endpointId().charAt(0) % 2);
  }

  @Test
  void keyedIsNotSentAgainAfterItsWindowNorRefused() {
    host.addEndpoints(4);
    String id = host.request(KEYED_CELL, 1);
    host.nowNanos += 700 * MS;
    host.endAttempt(id, Outcome.TIMEOUT, false);
    assertEquals(1, host.attemptsOf(id).size());
    assertEquals(List.of(id), host.failed);
  }

  @Test
  void keyedOverAllServersMayBeRefused() {
    host.addEndpoints(4);
    String id = host.request(KEYED_ALL, 1);
    host.nowNanos += 700 * MS;
    host.endAttempt(id, Outcome.TIMEOUT, false);
    assertEquals(List.of(id), host.rejected);
  }

  @Test
  void attemptsOverTheCapWaitAndHoldUpNobodyElse() {
    Host capped = new Host(new QuotaPlan(100, 100, 3, 1, 0, 1, 0, 0, 0), 1, 0).addEndpoints(4);
    for (int i = 0; i < 4; i++) {
      capped.request(IDEMPOTENT, 1);
    }
    assertEquals(3, capped.attempts.size());
    capped.request(IDEMPOTENT, 0, 2, 1, capped.nowNanos + 3000 * MS);
    assertEquals("r4", capped.attempts.get(3).requestId());
    capped.endAttempt("r0", Outcome.OK);
    assertEquals("r3", capped.attempts.get(4).requestId());
  }

  @Test
  void drainToldWhileQueuedIsKept() {
    host.addEndpoints(1);
    host.updateEndpoint("a", 0, EndpointState.DRAINING, 0);
    host.request(IDEMPOTENT, 1);
    host.advance(100 * MS);
    assertEquals(List.of(), host.attempts);
    host.updateEndpoint("a", 0, EndpointState.READY, 0);
    assertEquals(1, host.attempts.size());
  }

  @Test
  void goneAndBackUnderTheSameIdIsCold() {
    host.addEndpoints(1);
    host.updateEndpoint("a", 0, EndpointState.REMOVED, 0);
    host.request(IDEMPOTENT, 1);
    assertEquals(List.of(), host.attempts);
    host.updateEndpoint("a", 0, EndpointState.READY, host.nowNanos);
    for (int i = 0; i < 20; i++) {
      host.request(IDEMPOTENT, 1);
    }
    assertTrue(host.attempts.size() <= 1, "sent at once to a cold server: " + host.attempts.size());
  }

  @Test
  void absentFromAFullListIsGone() {
    host.addEndpoints(2);
    host.policy.endpointsUpdated(host.nowNanos, EndpointListKind.FULL, List.of());
    host.request(IDEMPOTENT, 1);
    assertEquals(List.of(), host.attempts);
  }

  @Test
  void coldServerGetsASmallPart() {
    host.addEndpoints(4);
    host.updateEndpoint("z", 0, EndpointState.READY, host.nowNanos);
    Map<String, Integer> sends = new HashMap<>();
    for (int i = 0; i < 300; i++) {
      String id = host.request(IDEMPOTENT, 1);
      host.advance(10 * MS);
      host.endAttempt(id, Outcome.OK);
    }
    host.attempts.forEach(s -> sends.merge(s.endpointId(), 1, Integer::sum));
    int warm = (300 - sends.getOrDefault("z", 0)) / 4;
    assertTrue(sends.getOrDefault("z", 0) > 0, "a cold server must warm");
    assertTrue(sends.get("z") < 0.6 * warm, "cold " + sends.get("z") + " against warm " + warm);
  }

  /**
   * After a power loss nothing is warm, and this gateway has sent nothing: it begins by its part of
   * a core of each.
   */
  @Test
  void whereNoServerIsWarmTheColdOnesTakeTheFirstRequests() {
    Host host = new Host(Host.UNLIMITED_PLAN, 4, 0, false);
    for (int i = 0; i < 8; i++) {
      host.updateEndpoint("c" + i, 0, EndpointState.READY, host.nowNanos);
    }
    int[] sends = new int[3];
    for (int i = 0; i < 300; i++) {
      int before = host.attempts.size();
      host.request(IDEMPOTENT, 1);
      host.advance(10 * MS);
      List.copyOf(host.attempts.subList(before, host.attempts.size()))
          .forEach(sent -> host.endAttempt(sent.requestId(), Outcome.OK));
      sends[i / 100] += host.attempts.size() - before;
    }
    // A quarter of 8 cores by four gateways, at the 0.125 s that a request is taken to need at
    // first: 4 a second.
    assertTrue(sends[0] >= 1 && sends[0] <= 20, "in the first second " + sends[0]);
    assertTrue(sends[2] > 2 * sends[0], "it does not grow: " + Arrays.toString(sends));
  }

  /** A request that is given up is refused at once, and its client told when to come back. */
  @Test
  void whoIsGivenUpIsToldWhenToComeBack() {
    Host host = new Host(Host.UNLIMITED_PLAN, 1, 0, false).addEndpoints(1);
    for (int i = 0; i < 200; i++) {
      host.request(IDEMPOTENT, 1);
    }
    assertTrue(host.rejected.size() > 0, "the queue is too long");
    host.advance(2_000 * MS);
    assertTrue(
        host.retryAfterNanos.stream().allMatch(span -> span > 0 && span <= 500 * MS),
        "told " + host.retryAfterNanos);
  }

  @Test
  void ceilingHoldsForAllGatewaysTogetherWithoutTheCounterAndOverARestart() {
    QuotaPlan plan = new QuotaPlan(5, 20, 0, 1, 0, 1, 8, 32, 4);
    double sent = 0;
    for (int me = 0; me < 3; me++) {
      Host one = new Host(plan, 3, me).addEndpoints(6);
      sent += flood(one, 300);
      // The same number starts again a moment later, with nothing in hand.
      Host again = new Host(plan, 3, me).addEndpoints(6);
      sent += flood(again, 100);
    }
    assertTrue(sent > 0, "something is let in");
    assertTrue(sent <= 32 + 8 * 4 + 4, "sent " + sent);
  }

  private static double flood(Host host, int ticks) {
    for (int i = 0; i < ticks; i++) {
      int before = host.attempts.size();
      host.advance(10 * MS);
      host.request(IDEMPOTENT, 2);
      host.attempts.subList(before, host.attempts.size()).stream()
          .toList()
          .forEach(s -> host.endAttempt(s.requestId(), Outcome.OK));
    }
    return 2.0 * host.attempts.size();
  }
}

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

/**
 * Boundary cases of the rules for deadlines, disconnected clients, retries, the concurrency cap,
 * the endpoint list, slow start and ceilings.
 */
class RulesTest {
  private final Host host = new Host(Host.UNLIMITED_PLAN, 3, 0);

  @Test
  void aRequestQueuedPastItsObjectiveIsRejectedBeforeTheDeadline() {
    String id = host.request(IDEMPOTENT, 1);
    assertEquals(List.of(), host.attempts);
    host.advance(1000 * MS);
    assertEquals(List.of(id), host.rejected);
  }

  @Test
  void aShortDeadlineQueuedBehindALongOneIsNotMissed() {
    Host loaded = new Host(Host.UNLIMITED_PLAN, 1, 0).addEndpoints(1);
    for (int i = 0; i < 6; i++) {
      loaded.request(IDEMPOTENT, 1);
    }
    loaded.request(IDEMPOTENT, 0, 1, 1, loaded.nowNanos + 3000 * MS);
    String shortDeadline = loaded.request(IDEMPOTENT, 0, 1, 1, loaded.nowNanos + 300 * MS);
    loaded.advance(300 * MS);
    assertEquals(List.of(shortDeadline), loaded.rejected);
  }

  @Test
  void aRequestThatArrivesWithNoTimeLeftIsRejectedAtOnce() {
    host.addEndpoints(1);
    String id = host.request(IDEMPOTENT, 0, 1, 1, host.nowNanos + MS);
    assertEquals(List.of(id), host.rejected);
    assertEquals(List.of(), host.attempts);
  }

  @Test
  void aTimeoutAtTheDeadlineStillFailsTheRequest() {
    host.addEndpoints(1);
    String id = host.request(NOT_IDEMPOTENT, 1);
    host.nowNanos += 3000 * MS;
    host.endAttempt(id, Outcome.TIMEOUT, false);
    assertEquals(List.of(id), host.failed);
    assertEquals(List.of(), host.rejected);
  }

  @Test
  void afterADisconnectThereIsNoRetryAndNoFinalAnswer() {
    host.addEndpoints(2);
    String id = host.request(IDEMPOTENT, 1);
    host.policy.clientDisconnected(host.nowNanos, id);
    host.endAttempt(id, Outcome.ERROR, true);
    host.advance(2000 * MS);
    assertEquals(1, host.attemptsOf(id).size());
    assertEquals(List.of(), host.rejected);
    assertEquals(List.of(), host.failed);
  }

  /**
   * The client disconnects during an attempt, during a counter call or while the request is queued;
   * whatever is in flight then ends with each outcome.
   */
  @ParameterizedTest
  @EnumSource(Outcome.class)
  void afterADisconnectInAnyStateNoAttemptIsSent(Outcome outcome) {
    for (int requestClass : new int[] {IDEMPOTENT, NOT_IDEMPOTENT, KEYED_ALL}) {
      disconnectDuringAnAttempt(requestClass, outcome);
      disconnectDuringACounterCall(requestClass, outcome);
      disconnectWhileQueued(requestClass, outcome);
    }
  }

  /** Disconnects two clients, one during the first attempt, one during a retry. */
  private static void disconnectDuringAnAttempt(int requestClass, Outcome outcome) {
    Host host = new Host(Host.UNLIMITED_PLAN, 1, 0).addEndpoints(4);
    String first = host.request(requestClass, 1);
    String retried = host.request(requestClass, 1);
    host.endAttempt(retried, Outcome.REJECTED, false);
    host.policy.clientDisconnected(host.nowNanos, first);
    host.policy.clientDisconnected(host.nowNanos, retried);
    int sentBefore = host.attempts.size();
    host.endAttempt(first, outcome, false);
    host.endAttempt(retried, outcome, false);
    host.advance(4_000 * MS);
    assertEquals(sentBefore, host.attempts.size(), outcome + " of the attempt in flight");
  }

  /** Disconnects a client whose request waits for the counter. */
  private static void disconnectDuringACounterCall(int requestClass, Outcome outcome) {
    Host host = new Host(new QuotaPlan(5, 5, 0, 1, 0, 1, 0, 0, 0), 2, 0).addEndpoints(4);
    String waiting = host.request(requestClass, 0, 1, 1, host.nowNanos + 3_000 * MS);
    for (long customer = 2; !host.attemptsOf(waiting).isEmpty(); customer++) {
      host.endAttempt(waiting, Outcome.OK);
      host.advance(1_000 * MS);
      host.counterCalls.clear();
      waiting = host.request(requestClass, 0, customer, 1, host.nowNanos + 3_000 * MS);
    }
    host.policy.clientDisconnected(host.nowNanos, waiting);
    host.policy.counterReplied(
        host.nowNanos, host.counterCalls.get(host.counterCalls.size() - 1).key(), outcome, 1);
    host.advance(4_000 * MS);
    assertEquals(List.of(), host.attemptsOf(waiting), outcome + " of the counter call");
    assertFalse(host.rejected.contains(waiting));
  }

  /** Disconnects a client whose request is queued, and then ends all attempts. */
  private static void disconnectWhileQueued(int requestClass, Outcome outcome) {
    Host host = new Host(Host.UNLIMITED_PLAN, 1, 0).addEndpoints(1);
    List<String> inFlight = new ArrayList<>();
    String queued = host.request(requestClass, 1);
    while (!host.attemptsOf(queued).isEmpty()) {
      inFlight.add(queued);
      queued = host.request(requestClass, 1);
    }
    host.policy.clientDisconnected(host.nowNanos, queued);
    inFlight.forEach(id -> host.endAttempt(id, outcome, true));
    host.advance(4_000 * MS);
    assertEquals(List.of(), host.attemptsOf(queued), outcome + " of the attempts in flight");
  }

  @ParameterizedTest
  @EnumSource(
      value = Outcome.class,
      names = {"OK"},
      mode = EnumSource.Mode.EXCLUDE)
  void aRequestThatIsNotIdempotentIsRetriedOnlyIfItNeverRan(Outcome outcome) {
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
  void aKeyedRequestIsRetriedInItsDeduplicationCell() {
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
  void afterItsKeyWindowAKeyedRequestFailsWithoutRetryOrRejection() {
    host.addEndpoints(4);
    String id = host.request(KEYED_CELL, 1);
    host.nowNanos += 700 * MS;
    host.endAttempt(id, Outcome.TIMEOUT, false);
    assertEquals(1, host.attemptsOf(id).size());
    assertEquals(List.of(id), host.failed);
  }

  @Test
  void aKeyedRequestDeduplicatedByAllEndpointsMayBeRejected() {
    host.addEndpoints(4);
    String id = host.request(KEYED_ALL, 1);
    host.nowNanos += 700 * MS;
    host.endAttempt(id, Outcome.TIMEOUT, false);
    assertEquals(List.of(id), host.rejected);
  }

  @Test
  void requestsOverACustomersConcurrencyCapWaitWithoutDelayingOthers() {
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
  void aDrainingEndpointGetsNoRequestsUntilItIsReadyAgain() {
    host.addEndpoints(1);
    host.updateEndpoint("a", 0, EndpointState.DRAINING, 0);
    host.request(IDEMPOTENT, 1);
    host.advance(100 * MS);
    assertEquals(List.of(), host.attempts);
    host.updateEndpoint("a", 0, EndpointState.READY, 0);
    assertEquals(1, host.attempts.size());
  }

  @Test
  void anEndpointRemovedAndListedAgainIsInSlowStart() {
    host.addEndpoints(1);
    host.updateEndpoint("a", 0, EndpointState.REMOVED, 0);
    host.request(IDEMPOTENT, 1);
    assertEquals(List.of(), host.attempts);
    host.updateEndpoint("a", 0, EndpointState.READY, host.nowNanos);
    for (int i = 0; i < 20; i++) {
      host.request(IDEMPOTENT, 1);
    }
    assertTrue(
        host.attempts.size() <= 1,
        "sent at once to an endpoint in slow start: " + host.attempts.size());
  }

  @Test
  void anEndpointMissingFromAFullListGetsNoRequests() {
    host.addEndpoints(2);
    host.policy.endpointsUpdated(host.nowNanos, EndpointListKind.FULL, List.of());
    host.request(IDEMPOTENT, 1);
    assertEquals(List.of(), host.attempts);
  }

  @Test
  void anEndpointInSlowStartGetsAReducedPartOfTheTraffic() {
    host.addEndpoints(4);
    host.updateEndpoint("z", 0, EndpointState.READY, host.nowNanos);
    Map<String, Integer> sentByEndpoint = new HashMap<>();
    for (int i = 0; i < 300; i++) {
      String id = host.request(IDEMPOTENT, 1);
      host.advance(10 * MS);
      host.endAttempt(id, Outcome.OK);
    }
    host.attempts.forEach(attempt -> sentByEndpoint.merge(attempt.endpointId(), 1, Integer::sum));
    int warmAverage = (300 - sentByEndpoint.getOrDefault("z", 0)) / 4;
    assertTrue(sentByEndpoint.getOrDefault("z", 0) > 0, "an endpoint in slow start needs traffic");
    assertTrue(
        sentByEndpoint.get("z") < 0.6 * warmAverage,
        "in slow start " + sentByEndpoint.get("z") + ", past it on average " + warmAverage);
  }

  /**
   * After a power loss all endpoints are in slow start, and this node has sent no work from which
   * it could tell what an endpoint may be sent: it starts with its part of one core of each
   * endpoint.
   */
  @Test
  void withAllEndpointsInSlowStartTheFirstRequestsAreSentAtAGrowingRate() {
    Host host = new Host(Host.UNLIMITED_PLAN, 4, 0, false);
    for (int i = 0; i < 8; i++) {
      host.updateEndpoint("c" + i, 0, EndpointState.READY, host.nowNanos);
    }
    int[] sentPerSecond = new int[3];
    for (int i = 0; i < 300; i++) {
      int sentBefore = host.attempts.size();
      host.request(IDEMPOTENT, 1);
      host.advance(10 * MS);
      List.copyOf(host.attempts.subList(sentBefore, host.attempts.size()))
          .forEach(attempt -> host.endAttempt(attempt.requestId(), Outcome.OK));
      sentPerSecond[i / 100] += host.attempts.size() - sentBefore;
    }
    // A quarter of the capacity of 8 cores, divided over 4 nodes, at the initial estimate of
    // 0.125 s of service time per request: 4 requests a second.
    assertTrue(
        sentPerSecond[0] >= 1 && sentPerSecond[0] <= 20,
        "sent in the first second: " + sentPerSecond[0]);
    assertTrue(
        sentPerSecond[2] > 2 * sentPerSecond[0],
        "sent in each second: " + Arrays.toString(sentPerSecond));
  }

  /** Requests over the length limit of the queue are rejected at once, with a Retry-After. */
  @Test
  void requestsShedFromAFullQueueGetARetryAfter() {
    Host host = new Host(Host.UNLIMITED_PLAN, 1, 0, false).addEndpoints(1);
    for (int i = 0; i < 200; i++) {
      host.request(IDEMPOTENT, 1);
    }
    assertTrue(host.rejected.size() > 0, "requests shed from the queue");
    host.advance(2_000 * MS);
    assertTrue(
        host.retryAfterNanos.stream().allMatch(nanos -> nanos > 0 && nanos <= 500 * MS),
        "Retry-After in ns: " + host.retryAfterNanos);
  }

  @Test
  void theCeilingHoldsOverAllNodesWithoutTheCounterAndOverRestarts() {
    QuotaPlan plan = new QuotaPlan(5, 20, 0, 1, 0, 1, 8, 32, 4);
    double unitsSent = 0;
    for (int node = 0; node < 3; node++) {
      Host first = new Host(plan, 3, node).addEndpoints(6);
      unitsSent += flood(first, 300);
      // The same node restarts without state: its ceiling must start with no units.
      Host restarted = new Host(plan, 3, node).addEndpoints(6);
      unitsSent += flood(restarted, 100);
    }
    assertTrue(unitsSent > 0, "some requests are admitted");
    assertTrue(unitsSent <= 32 + 8 * 4 + 4, "units sent: " + unitsSent);
  }

  /** Sends a request of 2 units every 10 ms; returns the units that were forwarded. */
  private static double flood(Host host, int ticks) {
    for (int i = 0; i < ticks; i++) {
      int sentBefore = host.attempts.size();
      host.advance(10 * MS);
      host.request(IDEMPOTENT, 2);
      host.attempts.subList(sentBefore, host.attempts.size()).stream()
          .toList()
          .forEach(attempt -> host.endAttempt(attempt.requestId(), Outcome.OK));
    }
    return 2.0 * host.attempts.size();
  }
}

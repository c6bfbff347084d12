package edgegateway.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.policy.api.Endpoint;
import edgegateway.policy.api.EndpointListKind;
import edgegateway.policy.api.EndpointState;
import edgegateway.policy.api.Outcome;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/**
 * Unusual endpoint lists: duplicate ids, empty lists and very many entries. The policy follows the
 * list, and its memory use depends on the endpoints listed now, not on all that were ever listed.
 */
class ListsTest {
  private static final long MS = 1_000_000L;
  private static final long MINUTE = 60_000 * MS;
  private static final long BYTES_PER_MB = 1 << 20;
  private static final int MANY_ENDPOINTS = 100_000;
  private static final int REQUESTS = 50;

  private final Host host = new Host(Host.UNLIMITED_PLAN, 1, 0, false);

  private static Endpoint endpoint(String id, EndpointState state, long startedAtNanos) {
    return new Endpoint(id, 1, 0, 0, 0, state, startedAtNanos);
  }

  private static List<Endpoint> manyEndpoints(String idPrefix) {
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < MANY_ENDPOINTS; i++) {
      endpoints.add(endpoint(idPrefix + i, EndpointState.READY, 0));
    }
    return endpoints;
  }

  /** Sends and answers {@link #REQUESTS}; returns the ids of the endpoints that they went to. */
  private Set<String> endpointsUsed() {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      String id = host.request(Host.IDEMPOTENT, 1);
      if (!host.attemptsOf(id).isEmpty()) {
        ids.add(id);
        host.endAttempt(id, Outcome.OK);
      }
      host.advance(20 * MS);
    }
    return ids.stream()
        .map(id -> host.attemptsOf(id).get(0).endpointId())
        .collect(Collectors.toSet());
  }

  @Test
  void ofTwoEntriesWithTheSameIdTheLastOneApplies() {
    Endpoint other = endpoint("b", EndpointState.READY, 0);
    for (EndpointListKind kind :
        new EndpointListKind[] {
          EndpointListKind.CACHED, EndpointListKind.FULL, EndpointListKind.DELTA
        }) {
      host.policy.endpointsUpdated(
          host.nowNanos,
          kind,
          List.of(
              endpoint("a", EndpointState.READY, 0), other, endpoint("a", EndpointState.READY, 0)));
      assertTrue(Set.of("a", "b").containsAll(endpointsUsed()), kind.toString());
      host.policy.endpointsUpdated(
          host.nowNanos,
          kind,
          List.of(
              endpoint("a", EndpointState.READY, 0),
              other,
              endpoint("a", EndpointState.DRAINING, 0)));
      assertEquals(Set.of("b"), endpointsUsed(), kind.toString());
      host.policy.endpointsUpdated(
          host.nowNanos,
          kind,
          List.of(
              endpoint("a", EndpointState.DRAINING, 0),
              endpoint("b", EndpointState.DRAINING, 0),
              endpoint("a", EndpointState.READY, 0)));
      assertEquals(Set.of("a"), endpointsUsed(), kind.toString());
    }
  }

  /** The attempt ends after a list that names its endpoint twice, with two later start times. */
  @Test
  void anAttemptInFlightSurvivesAListThatNamesItsEndpointTwiceAsRestarted() {
    host.policy.endpointsUpdated(
        host.nowNanos, EndpointListKind.FULL, List.of(endpoint("a", EndpointState.READY, 0)));
    String inFlight = host.request(Host.IDEMPOTENT, 1);
    host.policy.endpointsUpdated(
        host.nowNanos,
        EndpointListKind.FULL,
        List.of(
            endpoint("a", EndpointState.READY, host.nowNanos - 2 * MS),
            endpoint("a", EndpointState.READY, host.nowNanos - MS)));
    host.endAttempt(inFlight, Outcome.OK);
    host.advance(20_000 * MS);
    assertEquals(Set.of("a"), endpointsUsed());
    assertEquals(List.of(), host.failed);
  }

  @Test
  void withAnEmptyListRequestsAreRejectedUntilEndpointsAreListedAgain() {
    host.policy.endpointsUpdated(
        host.nowNanos, EndpointListKind.FULL, List.of(endpoint("a", EndpointState.READY, 0)));
    String inFlight = host.request(Host.IDEMPOTENT, 1);
    host.policy.endpointsUpdated(host.nowNanos, EndpointListKind.FULL, List.of());
    host.policy.endpointsUpdated(host.nowNanos, EndpointListKind.DELTA, List.of());
    host.endAttempt(inFlight, Outcome.OK);
    String queued = host.request(Host.IDEMPOTENT, 1);
    host.advance(1_500 * MS);
    assertTrue(
        host.attemptsOf(queued).isEmpty() && host.rejected.contains(queued),
        host.rejected.toString());
    host.policy.endpointsUpdated(
        host.nowNanos, EndpointListKind.FULL, List.of(endpoint("a", EndpointState.READY, 0)));
    assertEquals(Set.of("a"), endpointsUsed());
  }

  @Test
  void aListOfAHundredThousandEntriesIsUsedAndUnlistedEndpointsAreFreed() {
    host.policy.endpointsUpdated(host.nowNanos, EndpointListKind.CACHED, manyEndpoints("first"));
    assertAllSent();
    long bytesBefore = usedHeapBytes();
    for (int i = 0; i < 5; i++) {
      host.advance(2 * MINUTE);
      host.policy.endpointsUpdated(
          host.nowNanos, EndpointListKind.FULL, manyEndpoints("list" + i + "-"));
    }
    assertAllSent();
    long grownMb = (usedHeapBytes() - bytesBefore) / BYTES_PER_MB;
    assertTrue(
        grownMb < 30,
        "after five more lists the heap holds " + grownMb + " MB more than after the first");
    host.policy.endpointsUpdated(host.nowNanos, EndpointListKind.FULL, List.of());
    assertEquals(Set.of(), endpointsUsed());
  }

  /** Asserts that all of {@link #REQUESTS} are forwarded. */
  private void assertAllSent() {
    int sentBefore = host.attempts.size();
    Set<String> endpointIds = endpointsUsed();
    assertTrue(
        host.attempts.size() == sentBefore + REQUESTS && !endpointIds.isEmpty(),
        "sent " + (host.attempts.size() - sentBefore) + " of " + REQUESTS);
  }

  private static long usedHeapBytes() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}

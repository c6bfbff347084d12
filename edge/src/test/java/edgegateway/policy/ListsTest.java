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
 * Lists as they should not be: the module goes on with what they say, and its memory follows what
 * is named, not what ever was.
 */
class ListsTest {
  private static final long MS = 1_000_000L;
  private static final long MINUTE = 60_000 * MS;
  private static final long MB = 1 << 20;
  private static final int MANY = 100_000;
  private static final int REQUESTS = 50;

  private final Host host = new Host(Host.UNLIMITED_PLAN, 1, 0, false);

  private static Endpoint server(String id, EndpointState readiness, long startedAt) {
    return new Endpoint(id, 1, 0, 0, 0, readiness, startedAt);
  }

  private static List<Endpoint> many(String prefix) {
    List<Endpoint> all = new ArrayList<>();
    for (int i = 0; i < MANY; i++) {
      all.add(server(prefix + i, EndpointState.READY, 0));
    }
    return all;
  }

  /** The servers that requests go to now, all answered. */
  private Set<String> reached() {
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
  void ofAnIdThatIsListedTwiceTheLastEntryCounts() {
    Endpoint other = server("b", EndpointState.READY, 0);
    for (EndpointListKind kind :
        new EndpointListKind[] {
          EndpointListKind.CACHED, EndpointListKind.FULL, EndpointListKind.DELTA
        }) {
      host.policy.endpointsUpdated(
          host.nowNanos,
          kind,
          List.of(server("a", EndpointState.READY, 0), other, server("a", EndpointState.READY, 0)));
      assertTrue(Set.of("a", "b").containsAll(reached()), kind.toString());
      host.policy.endpointsUpdated(
          host.nowNanos,
          kind,
          List.of(
              server("a", EndpointState.READY, 0), other, server("a", EndpointState.DRAINING, 0)));
      assertEquals(Set.of("b"), reached(), kind.toString());
      host.policy.endpointsUpdated(
          host.nowNanos,
          kind,
          List.of(
              server("a", EndpointState.DRAINING, 0),
              server("b", EndpointState.DRAINING, 0),
              server("a", EndpointState.READY, 0)));
      assertEquals(Set.of("a"), reached(), kind.toString());
    }
  }

  /** The attempt at the first life ends while the list names two further ones. */
  @Test
  void anAttemptUnderWayOutlivesAnIdThatIsListedTwiceWithTwoLives() {
    host.policy.endpointsUpdated(
        host.nowNanos, EndpointListKind.FULL, List.of(server("a", EndpointState.READY, 0)));
    String under = host.request(Host.IDEMPOTENT, 1);
    host.policy.endpointsUpdated(
        host.nowNanos,
        EndpointListKind.FULL,
        List.of(
            server("a", EndpointState.READY, host.nowNanos - 2 * MS),
            server("a", EndpointState.READY, host.nowNanos - MS)));
    host.endAttempt(under, Outcome.OK);
    host.advance(20_000 * MS);
    assertEquals(Set.of("a"), reached());
    assertEquals(List.of(), host.failed);
  }

  @Test
  void withNoServerLeftRequestsAreRefusedAndServiceComesBackWithTheList() {
    host.policy.endpointsUpdated(
        host.nowNanos, EndpointListKind.FULL, List.of(server("a", EndpointState.READY, 0)));
    String under = host.request(Host.IDEMPOTENT, 1);
    host.policy.endpointsUpdated(host.nowNanos, EndpointListKind.FULL, List.of());
    host.policy.endpointsUpdated(host.nowNanos, EndpointListKind.DELTA, List.of());
    host.endAttempt(under, Outcome.OK);
    String waits = host.request(Host.IDEMPOTENT, 1);
    host.advance(1_500 * MS);
    assertTrue(
        host.attemptsOf(waits).isEmpty() && host.rejected.contains(waits),
        host.rejected.toString());
    host.policy.endpointsUpdated(
        host.nowNanos, EndpointListKind.FULL, List.of(server("a", EndpointState.READY, 0)));
    assertEquals(Set.of("a"), reached());
  }

  @Test
  void aHundredThousandEntriesAreTakenAndThoseNoLongerNamedForgotten() {
    host.policy.endpointsUpdated(host.nowNanos, EndpointListKind.CACHED, many("first"));
    served();
    long before = used();
    for (int i = 0; i < 5; i++) {
      host.advance(2 * MINUTE);
      host.policy.endpointsUpdated(host.nowNanos, EndpointListKind.FULL, many("list" + i + "-"));
    }
    served();
    long more = (used() - before) / MB;
    assertTrue(more < 30, "the fifth list of as many holds " + more + " MB more than the first");
    host.policy.endpointsUpdated(host.nowNanos, EndpointListKind.FULL, List.of());
    assertEquals(Set.of(), reached());
  }

  private void served() {
    int before = host.attempts.size();
    Set<String> reached = reached();
    assertTrue(
        host.attempts.size() == before + REQUESTS && !reached.isEmpty(),
        "sent " + (host.attempts.size() - before) + " of " + REQUESTS);
  }

  private static long used() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}

package edgegateway.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.policy.api.ListKind;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.Readiness;
import edgegateway.policy.api.Server;
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

  private final Host host = new Host(Host.FREE, 1, 0, false);

  private static Server server(String id, Readiness readiness, long startedAt) {
    return new Server(id, 1, 0, 0, 0, readiness, startedAt);
  }

  private static List<Server> many(String prefix) {
    List<Server> all = new ArrayList<>();
    for (int i = 0; i < MANY; i++) {
      all.add(server(prefix + i, Readiness.READY, 0));
    }
    return all;
  }

  /** The servers that requests go to now, all answered. */
  private Set<String> reached() {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      String id = host.request(Host.SAFE, 1);
      if (!host.attempts(id).isEmpty()) {
        ids.add(id);
        host.end(id, Outcome.OK);
      }
      host.pass(20 * MS);
    }
    return ids.stream().map(id -> host.attempts(id).get(0).server()).collect(Collectors.toSet());
  }

  @Test
  void ofAnIdThatIsListedTwiceTheLastEntryCounts() {
    Server other = server("b", Readiness.READY, 0);
    for (ListKind kind : new ListKind[] {ListKind.CACHED, ListKind.FULL, ListKind.DELTA}) {
      host.gateway.list(
          host.now,
          kind,
          List.of(server("a", Readiness.READY, 0), other, server("a", Readiness.READY, 0)));
      assertTrue(Set.of("a", "b").containsAll(reached()), kind.toString());
      host.gateway.list(
          host.now,
          kind,
          List.of(server("a", Readiness.READY, 0), other, server("a", Readiness.DRAINING, 0)));
      assertEquals(Set.of("b"), reached(), kind.toString());
      host.gateway.list(
          host.now,
          kind,
          List.of(
              server("a", Readiness.DRAINING, 0),
              server("b", Readiness.DRAINING, 0),
              server("a", Readiness.READY, 0)));
      assertEquals(Set.of("a"), reached(), kind.toString());
    }
  }

  /** The attempt at the first life ends while the list names two further ones. */
  @Test
  void anAttemptUnderWayOutlivesAnIdThatIsListedTwiceWithTwoLives() {
    host.gateway.list(host.now, ListKind.FULL, List.of(server("a", Readiness.READY, 0)));
    String under = host.request(Host.SAFE, 1);
    host.gateway.list(
        host.now,
        ListKind.FULL,
        List.of(
            server("a", Readiness.READY, host.now - 2 * MS),
            server("a", Readiness.READY, host.now - MS)));
    host.end(under, Outcome.OK);
    host.pass(20_000 * MS);
    assertEquals(Set.of("a"), reached());
    assertEquals(List.of(), host.failed);
  }

  @Test
  void withNoServerLeftRequestsAreRefusedAndServiceComesBackWithTheList() {
    host.gateway.list(host.now, ListKind.FULL, List.of(server("a", Readiness.READY, 0)));
    String under = host.request(Host.SAFE, 1);
    host.gateway.list(host.now, ListKind.FULL, List.of());
    host.gateway.list(host.now, ListKind.DELTA, List.of());
    host.end(under, Outcome.OK);
    String waits = host.request(Host.SAFE, 1);
    host.pass(1_500 * MS);
    assertTrue(
        host.attempts(waits).isEmpty() && host.refused.contains(waits), host.refused.toString());
    host.gateway.list(host.now, ListKind.FULL, List.of(server("a", Readiness.READY, 0)));
    assertEquals(Set.of("a"), reached());
  }

  @Test
  void aHundredThousandEntriesAreTakenAndThoseNoLongerNamedForgotten() {
    host.gateway.list(host.now, ListKind.CACHED, many("first"));
    served();
    long before = used();
    for (int i = 0; i < 5; i++) {
      host.pass(2 * MINUTE);
      host.gateway.list(host.now, ListKind.FULL, many("list" + i + "-"));
    }
    served();
    long more = (used() - before) / MB;
    assertTrue(more < 30, "the fifth list of as many holds " + more + " MB more than the first");
    host.gateway.list(host.now, ListKind.FULL, List.of());
    assertEquals(Set.of(), reached());
  }

  private void served() {
    int before = host.sent.size();
    Set<String> reached = reached();
    assertTrue(
        host.sent.size() == before + REQUESTS && !reached.isEmpty(),
        "sent " + (host.sent.size() - before) + " of " + REQUESTS);
  }

  private static long used() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}

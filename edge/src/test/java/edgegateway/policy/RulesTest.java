package edgegateway.policy;

import static edgegateway.policy.Host.KEYED_ALL;
import static edgegateway.policy.Host.KEYED_CELL;
import static edgegateway.policy.Host.MS;
import static edgegateway.policy.Host.SAFE;
import static edgegateway.policy.Host.UNSAFE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.policy.api.Endpoint;
import edgegateway.policy.api.EndpointListKind;
import edgegateway.policy.api.EndpointState;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.QuotaPlan;
import edgegateway.policy.api.TrafficRamp;
import edgegateway.policy.api.ZoneHealth;
import edgegateway.policy.api.ZoneStatus;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The five rules at their edges. */
class RulesTest {
  private final Host host = new Host(Host.FREE, 3, 0);

  @Test
  void queuedPastItsTimeIsRefusedBeforeTheDeadline() {
    String id = host.request(SAFE, 1);
    assertEquals(List.of(), host.sent);
    host.pass(1000 * MS);
    assertEquals(List.of(id), host.refused);
  }

  @Test
  void shortDeadlineBehindALongOneIsAnsweredToo() {
    Host full = new Host(Host.FREE, 1, 0).servers(1);
    for (int i = 0; i < 6; i++) {
      full.request(SAFE, 1);
    }
    full.request(SAFE, 0, 1, 1, full.now + 3000 * MS);
    String hurried = full.request(SAFE, 0, 1, 1, full.now + 300 * MS);
    full.pass(300 * MS);
    assertEquals(List.of(hurried), full.refused);
  }

  @Test
  void arrivingWithNoTimeLeftIsAnsweredAtOnce() {
    host.servers(1);
    String id = host.request(SAFE, 0, 1, 1, host.now + MS);
    assertEquals(List.of(id), host.refused);
    assertEquals(List.of(), host.sent);
  }

  @Test
  void timeOutAtTheDeadlineStillOwesTheAnswer() {
    host.servers(1);
    String id = host.request(UNSAFE, 1);
    host.now += 3000 * MS;
    host.end(id, Outcome.TIMEOUT, false);
    assertEquals(List.of(id), host.failed);
    assertEquals(List.of(), host.refused);
  }

  @Test
  void nothingFollowsWhenTheClientIsGone() {
    host.servers(2);
    String id = host.request(SAFE, 1);
    host.gateway.clientDisconnected(host.now, id);
    host.end(id, Outcome.ERROR, true);
    host.pass(2000 * MS);
    assertEquals(1, host.attempts(id).size());
    assertEquals(List.of(), host.refused);
    assertEquals(List.of(), host.failed);
  }

  /** In whichever state its client leaves, and however what was under way then ends. */
  @ParameterizedTest
  @EnumSource(Outcome.class)
  void nothingBeginsForAClientThatLeftInAnyState(Outcome outcome) {
    for (int requestClass : new int[] {SAFE, UNSAFE, KEYED_ALL}) {
      // An attempt is out, the first or a further one.
      Host out = new Host(Host.FREE, 1, 0).servers(4);
      String first = out.request(requestClass, 1);
      String further = out.request(requestClass, 1);
      out.end(further, Outcome.REJECTED, false);
      out.gateway.clientDisconnected(out.now, first);
      out.gateway.clientDisconnected(out.now, further);
      int sent = out.sent.size();
      out.end(first, outcome, false);
      out.end(further, outcome, false);
      out.pass(4_000 * MS);
      assertEquals(sent, out.sent.size(), outcome + " of an attempt");
      // The counter is asked.
      Host asking = new Host(new QuotaPlan(5, 5, 0, 1, 0, 1, 0, 0, 0), 2, 0).servers(4);
      String asked = asking.request(requestClass, 0, 1, 1, asking.now + 3_000 * MS);
      for (long customer = 2; !asking.attempts(asked).isEmpty(); customer++) {
        asking.end(asked, Outcome.OK);
        asking.pass(1_000 * MS);
        asking.counted.clear();
        asked = asking.request(requestClass, 0, customer, 1, asking.now + 3_000 * MS);
      }
      asking.gateway.clientDisconnected(asking.now, asked);
      asking.gateway.counterReplied(
          asking.now, asking.counted.get(asking.counted.size() - 1).name(), outcome, 1);
      asking.pass(4_000 * MS);
      assertEquals(List.of(), asking.attempts(asked), outcome + " of a call");
      assertFalse(asking.refused.contains(asked));
      // It waits in its queue, and places come free.
      Host queued = new Host(Host.FREE, 1, 0).servers(1);
      List<String> before = new ArrayList<>();
      String waits = queued.request(requestClass, 1);
      while (!queued.attempts(waits).isEmpty()) {
        before.add(waits);
        waits = queued.request(requestClass, 1);
      }
      queued.gateway.clientDisconnected(queued.now, waits);
      before.forEach(id -> queued.end(id, outcome, true));
      queued.pass(4_000 * MS);
      assertEquals(List.of(), queued.attempts(waits), outcome + " of those before it");
    }
  }

  @ParameterizedTest
  @EnumSource(
      value = Outcome.class,
      names = {"OK"},
      mode = EnumSource.Mode.EXCLUDE)
  void unsafeGoesOutAgainOnlyWhenItNeverRan(Outcome outcome) {
    host.servers(3);
    String id = host.request(UNSAFE, 1);
    host.end(id, outcome, false);
    if (outcome.provesNotExecuted()) {
      assertEquals(2, host.attempts(id).size());
    } else {
      assertEquals(1, host.attempts(id).size());
      assertEquals(List.of(id), host.failed);
      assertFalse(host.refused.contains(id));
    }
  }

  @Test
  void keyedStaysInItsCell() {
    host.servers(4);
    String id = host.request(KEYED_CELL, 1);
    host.end(id, Outcome.ERROR, false);
    List<Host.Sent> attempts = host.attempts(id);
    assertEquals(2, attempts.size());
    assertNotEquals(attempts.get(0).server(), attempts.get(1).server());
    assertEquals(attempts.get(0).server().charAt(0) % 2, attempts.get(1).server().charAt(0) % 2);
  }

  @Test
  void keyedIsNotSentAgainAfterItsWindowNorRefused() {
    host.servers(4);
    String id = host.request(KEYED_CELL, 1);
    host.now += 700 * MS;
    host.end(id, Outcome.TIMEOUT, false);
    assertEquals(1, host.attempts(id).size());
    assertEquals(List.of(id), host.failed);
  }

  @Test
  void keyedOverAllServersMayBeRefused() {
    host.servers(4);
    String id = host.request(KEYED_ALL, 1);
    host.now += 700 * MS;
    host.end(id, Outcome.TIMEOUT, false);
    assertEquals(List.of(id), host.refused);
  }

  @Test
  void attemptsOverTheCapWaitAndHoldUpNobodyElse() {
    Host capped = new Host(new QuotaPlan(100, 100, 3, 1, 0, 1, 0, 0, 0), 1, 0).servers(4);
    for (int i = 0; i < 4; i++) {
      capped.request(SAFE, 1);
    }
    assertEquals(3, capped.sent.size());
    capped.request(SAFE, 0, 2, 1, capped.now + 3000 * MS);
    assertEquals("r4", capped.sent.get(3).id());
    capped.end("r0", Outcome.OK);
    assertEquals("r3", capped.sent.get(4).id());
  }

  @Test
  void drainToldWhileQueuedIsKept() {
    host.servers(1);
    host.server("a", 0, EndpointState.DRAINING, 0);
    host.request(SAFE, 1);
    host.pass(100 * MS);
    assertEquals(List.of(), host.sent);
    host.server("a", 0, EndpointState.READY, 0);
    assertEquals(1, host.sent.size());
  }

  @Test
  void goneAndBackUnderTheSameIdIsCold() {
    host.servers(1);
    host.server("a", 0, EndpointState.REMOVED, 0);
    host.request(SAFE, 1);
    assertEquals(List.of(), host.sent);
    host.server("a", 0, EndpointState.READY, host.now);
    for (int i = 0; i < 20; i++) {
      host.request(SAFE, 1);
    }
    assertTrue(host.sent.size() <= 1, "sent at once to a cold server: " + host.sent.size());
  }

  @Test
  void absentFromAFullListIsGone() {
    host.servers(2);
    host.gateway.endpointsUpdated(host.now, EndpointListKind.FULL, List.of());
    host.request(SAFE, 1);
    assertEquals(List.of(), host.sent);
  }

  @Test
  void coldServerGetsASmallPart() {
    host.servers(4);
    host.server("z", 0, EndpointState.READY, host.now);
    Map<String, Integer> sends = new HashMap<>();
    for (int i = 0; i < 300; i++) {
      String id = host.request(SAFE, 1);
      host.pass(10 * MS);
      host.end(id, Outcome.OK);
    }
    host.sent.forEach(s -> sends.merge(s.server(), 1, Integer::sum));
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
    Host host = new Host(Host.FREE, 4, 0, false);
    for (int i = 0; i < 8; i++) {
      host.server("c" + i, 0, EndpointState.READY, host.now);
    }
    int[] sends = new int[3];
    for (int i = 0; i < 300; i++) {
      int before = host.sent.size();
      host.request(SAFE, 1);
      host.pass(10 * MS);
      List.copyOf(host.sent.subList(before, host.sent.size()))
          .forEach(sent -> host.end(sent.id(), Outcome.OK));
      sends[i / 100] += host.sent.size() - before;
    }
    // A quarter of 8 cores by four gateways, at the 0.125 s that a request is taken to need at
    // first: 4 a second.
    assertTrue(sends[0] >= 1 && sends[0] <= 20, "in the first second " + sends[0]);
    assertTrue(sends[2] > 2 * sends[0], "it does not grow: " + Arrays.toString(sends));
  }

  /** A request that is given up is refused at once, and its client told when to come back. */
  @Test
  void whoIsGivenUpIsToldWhenToComeBack() {
    Host host = new Host(Host.FREE, 1, 0, false).servers(1);
    for (int i = 0; i < 200; i++) {
      host.request(SAFE, 1);
    }
    assertTrue(host.refused.size() > 0, "the queue is too long");
    host.pass(2_000 * MS);
    assertTrue(
        host.advised.stream().allMatch(span -> span > 0 && span <= 500 * MS),
        "told " + host.advised);
  }

  @Test
  void ceilingHoldsForAllGatewaysTogetherWithoutTheCounterAndOverARestart() {
    QuotaPlan plan = new QuotaPlan(5, 20, 0, 1, 0, 1, 8, 32, 4);
    double sent = 0;
    for (int me = 0; me < 3; me++) {
      Host one = new Host(plan, 3, me).servers(6);
      sent += flood(one, 300);
      // The same number starts again a moment later, with nothing in hand.
      Host again = new Host(plan, 3, me).servers(6);
      sent += flood(again, 100);
    }
    assertTrue(sent > 0, "something is let in");
    assertTrue(sent <= 32 + 8 * 4 + 4, "sent " + sent);
  }

  private static double flood(Host host, int ticks) {
    for (int i = 0; i < ticks; i++) {
      int before = host.sent.size();
      host.pass(10 * MS);
      host.request(SAFE, 2);
      host.sent.subList(before, host.sent.size()).stream()
          .toList()
          .forEach(s -> host.end(s.id(), Outcome.OK));
    }
    return 2.0 * host.sent.size();
  }

  /**
   * Nothing that the list says lets a server serve that operators keep out, and it comes back as a
   * cold one.
   */
  @Test
  void aServerOutByHandStaysOutWhateverTheListSays() {
    host.servers(2);
    assertFalse(host.gateway.setEndpointEjected(host.now, "never", true));
    assertTrue(host.gateway.setEndpointEjected(host.now, "a", true));
    assertEquals(List.of("a"), host.gateway.avoidedEndpoints());
    Endpoint ready = new Endpoint("a", 1, 0, 0, 0, EndpointState.READY, 0);
    for (EndpointListKind kind : List.of(EndpointListKind.FULL, EndpointListKind.DELTA)) {
      host.gateway.endpointsUpdated(
          host.now, kind, List.of(ready, new Endpoint("b", 1, 1, 1, 0, EndpointState.READY, 0)));
      servedBy("b", 20);
    }
    host.gateway.endpointsUpdated(
        host.now,
        EndpointListKind.FULL,
        List.of(new Endpoint("b", 1, 1, 1, 0, EndpointState.READY, 0)));
    assertEquals(List.of(), host.gateway.avoidedEndpoints());
    host.server("a", 0, EndpointState.READY, host.now);
    servedBy("b", 20);
    String retried = host.request(SAFE, 1);
    host.end(retried, Outcome.ERROR, false);
    assertTrue(host.attempts(retried).stream().noneMatch(s -> s.server().equals("a")));
    host.end(retried, Outcome.OK);
    assertTrue(host.gateway.setEndpointEjected(host.now, "a", false));
    assertEquals(List.of(), host.gateway.avoidedEndpoints());
    int before = host.sent.size();
    for (int i = 0; i < 200; i++) {
      host.now += 20 * MS;
      host.end(host.request(SAFE, 1), Outcome.OK);
    }
    long back = host.sent.stream().skip(before).filter(s -> s.server().equals("a")).count();
    assertTrue(back > 5 && back < 90, "a cold server's part of 200: " + back);
  }

  @Test
  void whatWasOutBeforeAStartIsOutThoughItIsListedLater() {
    host.gateway.restoreEjectedEndpoints(host.now, Set.of("a"));
    host.servers(2);
    servedBy("b", 20);
    host.gateway.restoreEjectedEndpoints(host.now, Set.of());
    assertEquals(List.of(), host.gateway.avoidedEndpoints());
  }

  /**
   * Whatever the list says, nothing goes to a zone that operators keep out; it comes back bit by
   * bit, its servers as cold ones.
   */
  @Test
  void aZoneOutByHandStaysOutAndComesBackBitByBit() {
    host.servers(2);
    assertFalse(host.gateway.ejectedZones().contains(0));
    assertTrue(host.gateway.setZoneEjected(host.now, 0, true, 0));
    assertTrue(host.gateway.setZoneEjected(host.now, 0, true, 0), "once more");
    assertFalse(host.gateway.setZoneEjected(host.now, 1, true, 0), "the last one stays");
    assertEquals(Set.of(0), host.gateway.ejectedZones());
    host.server("c", 0, EndpointState.READY, 0);
    host.gateway.endpointsUpdated(
        host.now,
        EndpointListKind.FULL,
        List.of(
            new Endpoint("a", 1, 0, 0, 0, EndpointState.READY, host.now),
            new Endpoint("b", 1, 1, 1, 0, EndpointState.READY, 0)));
    servedBy("b", 20);
    assertEquals(
        new ZoneStatus(0, host.gateway.zoneStatus(0).sinceNanos(), 1, 0, true),
        host.gateway.zoneStatus(0));
    assertTrue(host.gateway.setZoneEjected(host.now, 0, false, 40_000 * MS));
    assertTrue(host.gateway.setZoneEjected(host.now, 0, false, 1), "once more changes nothing");
    int[] back = new int[3];
    for (int i = 0; i < 3_000; i++) {
      host.now += 20 * MS;
      String id = host.request(SAFE, 1);
      back[i / 1_000] += host.attempts(id).get(0).server().equals("a") ? 1 : 0;
      host.end(id, Outcome.OK);
    }
    // Its part grows to the whole over 40 s: a quarter, three quarters and all of a half, each over
    // 20 s.
    assertTrue(
        back[0] > 50 && back[0] < 0.6 * back[1] && back[1] < 0.95 * back[2], Arrays.toString(back));
    assertEquals(1, host.gateway.zoneStatus(0).trafficFraction());
  }

  @Test
  void zonesThatWereOutBeforeAStartAreOutThoughTheyAreListedLater() {
    host.gateway.restoreEjectedZones(host.now, Set.of(0));
    host.servers(2);
    servedBy("b", 20);
    host.gateway.restoreEjectedZones(host.now, Set.of());
    assertEquals(Set.of(), host.gateway.ejectedZones());
    host.now += 1;
    assertTrue(
        host.gateway.zoneStatus(0).trafficFraction() > 0
            && host.gateway.zoneStatus(0).trafficFraction() < 0.01);
    host.gateway.restoreEjectedZones(host.now, Set.of(0));
    assertEquals(0, host.gateway.zoneStatus(0).trafficFraction(), "out again on its way back");
  }

  /**
   * A verdict's course is followed; operators go before it, and what they had back is its again.
   */
  @Test
  void aZoneOutByVerdictIsOutAndOperatorsGoBeforeIt() {
    host.servers(2);
    host.gateway.setZoneRamp(host.now, 0, new TrafficRamp(0, 0, host.now, 1));
    servedBy("b", 20);
    assertEquals(new ZoneStatus(0, host.now - 400 * MS, 1, 1, false), host.gateway.zoneStatus(0));
    assertFalse(host.gateway.setZoneEjected(host.now, 1, true, 0), "nothing would be left");
    host.server("c", 2, EndpointState.READY, 0);
    assertTrue(host.gateway.setZoneEjected(host.now, 1, true, 0));
    host.gateway.setZoneRamp(host.now, 1, new TrafficRamp(0.5, 1, host.now, 1_000 * MS));
    servedBy("c", 5);
    assertTrue(host.gateway.setZoneEjected(host.now, 1, false, 1));
    host.now += 10 * MS;
    host.gateway.setZoneRamp(host.now, 1, new TrafficRamp(0.5, 1, host.now, 1_000 * MS));
    assertEquals(
        0.5,
        host.gateway.zoneStatus(1).trafficFraction(),
        0.01,
        "its return by hand is over, the verdict counts");
    host.gateway.setZoneRamp(host.now, 0, null);
    assertEquals(1, host.gateway.zoneStatus(0).trafficFraction());
  }

  /** One request for each trial, and only one that may be repeated freely. */
  @Test
  void aTrialIsOneRequestThatMayBeRepeated() {
    host.servers(2);
    host.gateway.setZoneRamp(host.now, 0, new TrafficRamp(0, 0, host.now, 1));
    host.gateway.probeZone(host.now, 0);
    for (int requestClass : List.of(UNSAFE, KEYED_CELL)) {
      String id = host.request(requestClass, 1);
      assertEquals("b", host.attempts(id).get(0).server());
      host.end(id, Outcome.OK);
    }
    String trial = host.request(SAFE, 1);
    assertEquals("a", host.attempts(trial).get(0).server());
    host.end(trial, Outcome.TIMEOUT);
    assertEquals("b", host.attempts(trial).get(1).server(), "its second attempt is no trial");
    host.end(trial, Outcome.OK);
    servedBy("b", 5);
    host.gateway.probeZone(host.now, 0);
    host.gateway.setZoneEjected(host.now, 0, true, 0);
    servedBy("b", 1);
  }

  /** A site without zones: its servers stand in none, and none is to be tried. */
  @Test
  void whereThereAreNoZonesServersAreChosenAsEver() {
    for (String id : List.of("a", "b")) {
      host.gateway.endpointsUpdated(
          host.now,
          EndpointListKind.DELTA,
          List.of(new Endpoint(id, 1, -1, 0, 0, EndpointState.READY, 0)));
    }
    for (int i = 0; i < 20; i++) {
      host.now += 20 * MS;
      String id = host.request(SAFE, 1);
      if (host.attempts(id).get(0).server().equals("a")) {
        host.end(id, Outcome.CONNECT_FAILED);
      }
      host.end(id, Outcome.OK);
    }
    host.sent.clear();
    servedBy("b", 50);
  }

  /**
   * What tells a zone that fails from one server that does, from silence and from a load too high.
   */
  @Test
  void evidenceTellsAZoneFromAServerAndSilenceBeforeItsEnd() {
    for (String id : List.of("a", "c", "e")) {
      host.server(id, 0, EndpointState.READY, 0);
    }
    host.server("b", 1, EndpointState.READY, 0);
    String bad = null;
    for (int i = 0; i < 60; i++) {
      host.now += 20 * MS;
      String id = host.request(SAFE, 1);
      String server = host.attempts(id).get(0).server();
      bad = bad == null && !server.equals("b") ? server : bad;
      host.end(id, server.equals(bad) ? Outcome.ERROR : Outcome.OK);
      if (server.equals(bad)) {
        host.end(id, Outcome.OK);
      }
    }
    ZoneHealth of = host.gateway.zoneHealth(host.now).get(0);
    assertTrue(
        of.failingEndpoints() == 1
            && of.observedEndpoints() >= 2
            && of.failureExcess() < 3
            && of.totalFailures() > 0,
        of.toString());
    List<String> out = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      out.add(host.request(SAFE, 1));
    }
    List<String> there =
        out.stream().filter(id -> !host.attempts(id).get(0).server().equals("b")).toList();
    host.now += MS;
    host.end(there.get(0), Outcome.REJECTED);
    ZoneHealth before = host.gateway.zoneHealth(host.now).get(0);
    assertEquals(of.totalFailures(), before.totalFailures(), "no room is no miss");
    host.now += 900 * MS;
    assertTrue(
        host.gateway.zoneHealth(host.now).get(0).failureExcess() < 0.5,
        "they were sent before the zone last answered");
    out.forEach(id -> host.end(id, Outcome.OK));
    host.now += MS;
    host.request(SAFE, 1);
    host.request(SAFE, 1);
    host.request(SAFE, 1);
    host.now += 900 * MS;
    ZoneHealth silent = host.gateway.zoneHealth(host.now).get(0);
    assertTrue(
        silent.failureExcess() >= 1 && silent.unresponsiveEndpoints() >= 1,
        silent + " " + host.sent.subList(host.sent.size() - 4, host.sent.size()));
    assertEquals(0.75, silent.endpointFraction(), 1e-9);
  }

  private void servedBy(String server, int requests) {
    for (int i = 0; i < requests; i++) {
      host.now += 20 * MS;
      String id = host.request(SAFE, 1);
      assertEquals(server, host.attempts(id).get(0).server());
      host.end(id, Outcome.OK);
    }
  }
}

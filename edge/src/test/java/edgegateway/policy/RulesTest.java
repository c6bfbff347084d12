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

import edgegateway.policy.api.Course;
import edgegateway.policy.api.ListKind;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.Plan;
import edgegateway.policy.api.Readiness;
import edgegateway.policy.api.Server;
import edgegateway.policy.api.ZoneEvidence;
import edgegateway.policy.api.ZoneState;
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
    host.gateway.clientGone(host.now, id);
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
      out.end(further, Outcome.FULL, false);
      out.gateway.clientGone(out.now, first);
      out.gateway.clientGone(out.now, further);
      int sent = out.sent.size();
      out.end(first, outcome, false);
      out.end(further, outcome, false);
      out.pass(4_000 * MS);
      assertEquals(sent, out.sent.size(), outcome + " of an attempt");
      // The counter is asked.
      Host asking = new Host(new Plan(5, 5, 0, 1, 0, 1, 0, 0, 0), 2, 0).servers(4);
      String asked = asking.request(requestClass, 0, 1, 1, asking.now + 3_000 * MS);
      for (long customer = 2; !asking.attempts(asked).isEmpty(); customer++) {
        asking.end(asked, Outcome.OK);
        asking.pass(1_000 * MS);
        asking.counted.clear();
        asked = asking.request(requestClass, 0, customer, 1, asking.now + 3_000 * MS);
      }
      asking.gateway.clientGone(asking.now, asked);
      asking.gateway.counted(
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
      queued.gateway.clientGone(queued.now, waits);
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
    if (outcome.provesNeverRan()) {
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
    Host capped = new Host(new Plan(100, 100, 3, 1, 0, 1, 0, 0, 0), 1, 0).servers(4);
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
    host.server("a", 0, Readiness.DRAINING, 0);
    host.request(SAFE, 1);
    host.pass(100 * MS);
    assertEquals(List.of(), host.sent);
    host.server("a", 0, Readiness.READY, 0);
    assertEquals(1, host.sent.size());
  }

  @Test
  void goneAndBackUnderTheSameIdIsCold() {
    host.servers(1);
    host.server("a", 0, Readiness.GONE, 0);
    host.request(SAFE, 1);
    assertEquals(List.of(), host.sent);
    host.server("a", 0, Readiness.READY, host.now);
    for (int i = 0; i < 20; i++) {
      host.request(SAFE, 1);
    }
    assertTrue(host.sent.size() <= 1, "sent at once to a cold server: " + host.sent.size());
  }

  @Test
  void absentFromAFullListIsGone() {
    host.servers(2);
    host.gateway.list(host.now, ListKind.FULL, List.of());
    host.request(SAFE, 1);
    assertEquals(List.of(), host.sent);
  }

  @Test
  void coldServerGetsASmallPart() {
    host.servers(4);
    host.server("z", 0, Readiness.READY, host.now);
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
      host.server("c" + i, 0, Readiness.READY, host.now);
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
    Plan plan = new Plan(5, 20, 0, 1, 0, 1, 8, 32, 4);
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
    assertFalse(host.gateway.leaveOut(host.now, "never", true));
    assertTrue(host.gateway.leaveOut(host.now, "a", true));
    assertEquals(List.of("a"), host.gateway.avoided());
    Server ready = new Server("a", 1, 0, 0, 0, Readiness.READY, 0);
    for (ListKind kind : List.of(ListKind.FULL, ListKind.DELTA)) {
      host.gateway.list(
          host.now, kind, List.of(ready, new Server("b", 1, 1, 1, 0, Readiness.READY, 0)));
      servedBy("b", 20);
    }
    host.gateway.list(
        host.now, ListKind.FULL, List.of(new Server("b", 1, 1, 1, 0, Readiness.READY, 0)));
    assertEquals(List.of(), host.gateway.avoided());
    host.server("a", 0, Readiness.READY, host.now);
    servedBy("b", 20);
    String retried = host.request(SAFE, 1);
    host.end(retried, Outcome.ERROR, false);
    assertTrue(host.attempts(retried).stream().noneMatch(s -> s.server().equals("a")));
    host.end(retried, Outcome.OK);
    assertTrue(host.gateway.leaveOut(host.now, "a", false));
    assertEquals(List.of(), host.gateway.avoided());
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
    host.gateway.stillOut(host.now, Set.of("a"));
    host.servers(2);
    servedBy("b", 20);
    host.gateway.stillOut(host.now, Set.of());
    assertEquals(List.of(), host.gateway.avoided());
  }

  /**
   * Whatever the list says, nothing goes to a zone that operators keep out; it comes back bit by
   * bit, its servers as cold ones.
   */
  @Test
  void aZoneOutByHandStaysOutAndComesBackBitByBit() {
    host.servers(2);
    assertFalse(host.gateway.zonesOut().contains(0));
    assertTrue(host.gateway.leaveZone(host.now, 0, true, 0));
    assertTrue(host.gateway.leaveZone(host.now, 0, true, 0), "once more");
    assertFalse(host.gateway.leaveZone(host.now, 1, true, 0), "the last one stays");
    assertEquals(Set.of(0), host.gateway.zonesOut());
    host.server("c", 0, Readiness.READY, 0);
    host.gateway.list(
        host.now,
        ListKind.FULL,
        List.of(
            new Server("a", 1, 0, 0, 0, Readiness.READY, host.now),
            new Server("b", 1, 1, 1, 0, Readiness.READY, 0)));
    servedBy("b", 20);
    assertEquals(new ZoneState(0, host.gateway.zone(0).since(), 1, 0, true), host.gateway.zone(0));
    assertTrue(host.gateway.leaveZone(host.now, 0, false, 40_000 * MS));
    assertTrue(host.gateway.leaveZone(host.now, 0, false, 1), "once more changes nothing");
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
    assertEquals(1, host.gateway.zone(0).share());
  }

  @Test
  void zonesThatWereOutBeforeAStartAreOutThoughTheyAreListedLater() {
    host.gateway.zonesStillOut(host.now, Set.of(0));
    host.servers(2);
    servedBy("b", 20);
    host.gateway.zonesStillOut(host.now, Set.of());
    assertEquals(Set.of(), host.gateway.zonesOut());
    host.now += 1;
    assertTrue(host.gateway.zone(0).share() > 0 && host.gateway.zone(0).share() < 0.01);
    host.gateway.zonesStillOut(host.now, Set.of(0));
    assertEquals(0, host.gateway.zone(0).share(), "out again on its way back");
  }

  /**
   * A verdict's course is followed; operators go before it, and what they had back is its again.
   */
  @Test
  void aZoneOutByVerdictIsOutAndOperatorsGoBeforeIt() {
    host.servers(2);
    host.gateway.zoneCourse(host.now, 0, new Course(0, 0, host.now, 1));
    servedBy("b", 20);
    assertEquals(new ZoneState(0, host.now - 400 * MS, 1, 1, false), host.gateway.zone(0));
    assertFalse(host.gateway.leaveZone(host.now, 1, true, 0), "nothing would be left");
    host.server("c", 2, Readiness.READY, 0);
    assertTrue(host.gateway.leaveZone(host.now, 1, true, 0));
    host.gateway.zoneCourse(host.now, 1, new Course(0.5, 1, host.now, 1_000 * MS));
    servedBy("c", 5);
    assertTrue(host.gateway.leaveZone(host.now, 1, false, 1));
    host.now += 10 * MS;
    host.gateway.zoneCourse(host.now, 1, new Course(0.5, 1, host.now, 1_000 * MS));
    assertEquals(
        0.5, host.gateway.zone(1).share(), 0.01, "its return by hand is over, the verdict counts");
    host.gateway.zoneCourse(host.now, 0, null);
    assertEquals(1, host.gateway.zone(0).share());
  }

  /** One request for each trial, and only one that may be repeated freely. */
  @Test
  void aTrialIsOneRequestThatMayBeRepeated() {
    host.servers(2);
    host.gateway.zoneCourse(host.now, 0, new Course(0, 0, host.now, 1));
    host.gateway.tryZone(host.now, 0);
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
    host.gateway.tryZone(host.now, 0);
    host.gateway.leaveZone(host.now, 0, true, 0);
    servedBy("b", 1);
  }

  /** A site without zones: its servers stand in none, and none is to be tried. */
  @Test
  void whereThereAreNoZonesServersAreChosenAsEver() {
    for (String id : List.of("a", "b")) {
      host.gateway.list(
          host.now, ListKind.DELTA, List.of(new Server(id, 1, -1, 0, 0, Readiness.READY, 0)));
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
      host.server(id, 0, Readiness.READY, 0);
    }
    host.server("b", 1, Readiness.READY, 0);
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
    ZoneEvidence of = host.gateway.zoneEvidence(host.now).get(0);
    assertTrue(
        of.bad() == 1 && of.heard() >= 2 && of.excess() < 3 && of.misses() > 0, of.toString());
    List<String> out = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      out.add(host.request(SAFE, 1));
    }
    List<String> there =
        out.stream().filter(id -> !host.attempts(id).get(0).server().equals("b")).toList();
    host.now += MS;
    host.end(there.get(0), Outcome.FULL);
    ZoneEvidence before = host.gateway.zoneEvidence(host.now).get(0);
    assertEquals(of.misses(), before.misses(), "no room is no miss");
    host.now += 900 * MS;
    assertTrue(
        host.gateway.zoneEvidence(host.now).get(0).excess() < 0.5,
        "they were sent before the zone last answered");
    out.forEach(id -> host.end(id, Outcome.OK));
    host.now += MS;
    host.request(SAFE, 1);
    host.request(SAFE, 1);
    host.request(SAFE, 1);
    host.now += 900 * MS;
    ZoneEvidence silent = host.gateway.zoneEvidence(host.now).get(0);
    assertTrue(
        silent.excess() >= 1 && silent.silent() >= 1,
        silent + " " + host.sent.subList(host.sent.size() - 4, host.sent.size()));
    assertEquals(0.75, silent.share(), 1e-9);
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

package edgegateway.policy;

import static edgegateway.policy.Host.KEYED_CELL;
import static edgegateway.policy.Host.MS;
import static edgegateway.policy.Host.SAFE;
import static edgegateway.policy.Host.UNSAFE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.policy.api.Endpoint;
import edgegateway.policy.api.EndpointListKind;
import edgegateway.policy.api.EndpointState;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.TrafficRamp;
import edgegateway.policy.api.ZoneHealth;
import edgegateway.policy.api.ZoneStatus;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Endpoints and zones that operators or the fleet eject, and the evidence on zones. */
class EjectionTest {
  private final Host host = new Host(Host.FREE, 3, 0);

  /**
   * Nothing that the list says lets a server serve that operators keep out, and it comes back as a
   * cold one.
   */
  @Test
  void aServerOutByHandStaysOutWhateverTheListSays() {
    host.servers(2);
    assertFalse(host.gateway.setEndpointEjected(host.now, "never", true));
    assertTrue(host.gateway.setEndpointEjected(host.now, "a", true));
    assertEquals(List.of("a"), host.gateway.skippedEndpoints());
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
    assertEquals(List.of(), host.gateway.skippedEndpoints());
    host.server("a", 0, EndpointState.READY, host.now);
    servedBy("b", 20);
    String retried = host.request(SAFE, 1);
    host.end(retried, Outcome.ERROR, false);
    assertTrue(host.attempts(retried).stream().noneMatch(s -> s.server().equals("a")));
    host.end(retried, Outcome.OK);
    assertTrue(host.gateway.setEndpointEjected(host.now, "a", false));
    assertEquals(List.of(), host.gateway.skippedEndpoints());
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
    assertEquals(List.of(), host.gateway.skippedEndpoints());
  }

  /**
   * Whatever the list says, nothing goes to a zone that operators keep out; it comes back bit by
   * bit, its servers as cold ones.
   */
  @Test
  void aZoneOutByHandStaysOutAndComesBackBitByBit() {
    host.servers(2);
    assertFalse(host.gateway.operatorEjectedZones().contains(0));
    assertTrue(host.gateway.setZoneEjected(host.now, 0, true, 0));
    assertTrue(host.gateway.setZoneEjected(host.now, 0, true, 0), "once more");
    assertFalse(host.gateway.setZoneEjected(host.now, 1, true, 0), "the last one stays");
    assertEquals(Set.of(0), host.gateway.operatorEjectedZones());
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
    assertEquals(Set.of(), host.gateway.operatorEjectedZones());
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
    oneServerFails();
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

  /** Of the first zone's servers the first that is sent to fails from then on. */
  private void oneServerFails() {
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

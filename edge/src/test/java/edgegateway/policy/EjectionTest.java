package edgegateway.policy;

import static edgegateway.policy.Host.IDEMPOTENT;
import static edgegateway.policy.Host.KEYED_CELL;
import static edgegateway.policy.Host.MS;
import static edgegateway.policy.Host.NOT_IDEMPOTENT;
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

/** Ejection of endpoints and zones by operators and by the fleet, and reports on zone health. */
class EjectionTest {
  private final Host host = new Host(Host.UNLIMITED_PLAN, 3, 0);

  /**
   * An endpoint that an operator ejected gets no requests, even if list updates name it ready, drop
   * it or add it again. After its readmission it is in slow start.
   */
  @Test
  void anEjectedEndpointStaysEjectedWhateverTheListSays() {
    host.addEndpoints(2);
    assertFalse(host.policy.setEndpointEjected(host.nowNanos, "unknown", true));
    assertTrue(host.policy.setEndpointEjected(host.nowNanos, "a", true));
    assertEquals(List.of("a"), host.policy.skippedEndpoints());
    Endpoint ready = new Endpoint("a", 1, 0, 0, 0, EndpointState.READY, 0);
    for (EndpointListKind kind : List.of(EndpointListKind.FULL, EndpointListKind.DELTA)) {
      host.policy.endpointsUpdated(
          host.nowNanos,
          kind,
          List.of(ready, new Endpoint("b", 1, 1, 1, 0, EndpointState.READY, 0)));
      assertSentTo("b", 20);
    }
    host.policy.endpointsUpdated(
        host.nowNanos,
        EndpointListKind.FULL,
        List.of(new Endpoint("b", 1, 1, 1, 0, EndpointState.READY, 0)));
    assertEquals(List.of(), host.policy.skippedEndpoints());
    host.updateEndpoint("a", 0, EndpointState.READY, host.nowNanos);
    assertSentTo("b", 20);
    String retried = host.request(IDEMPOTENT, 1);
    host.endAttempt(retried, Outcome.ERROR, false);
    assertTrue(
        host.attemptsOf(retried).stream().noneMatch(attempt -> attempt.endpointId().equals("a")));
    host.endAttempt(retried, Outcome.OK);
    assertTrue(host.policy.setEndpointEjected(host.nowNanos, "a", false));
    assertEquals(List.of(), host.policy.skippedEndpoints());
    int sentBefore = host.attempts.size();
    for (int i = 0; i < 200; i++) {
      host.nowNanos += 20 * MS;
      host.endAttempt(host.request(IDEMPOTENT, 1), Outcome.OK);
    }
    long sentToA =
        host.attempts.stream()
            .skip(sentBefore)
            .filter(attempt -> attempt.endpointId().equals("a"))
            .count();
    assertTrue(
        sentToA > 5 && sentToA < 90, "of 200, sent to the endpoint in slow start: " + sentToA);
  }

  @Test
  void endpointsEjectedBeforeARestartStayEjectedWhenListedLater() {
    host.policy.restoreEjectedEndpoints(host.nowNanos, Set.of("a"));
    host.addEndpoints(2);
    assertSentTo("b", 20);
    host.policy.restoreEjectedEndpoints(host.nowNanos, Set.of());
    assertEquals(List.of(), host.policy.skippedEndpoints());
  }

  /**
   * A zone that an operator ejected gets no requests, even if list updates name its endpoints.
   * After its readmission its traffic grows over the given time, and its endpoints are in slow
   * start.
   */
  @Test
  void anEjectedZoneStaysEjectedAndIsReadmittedGradually() {
    host.addEndpoints(2);
    assertFalse(host.policy.operatorEjectedZones().contains(0));
    assertTrue(host.policy.setZoneEjected(host.nowNanos, 0, true, 0));
    assertTrue(
        host.policy.setZoneEjected(host.nowNanos, 0, true, 0), "ejecting it twice is accepted");
    assertFalse(
        host.policy.setZoneEjected(host.nowNanos, 1, true, 0), "the last zone cannot be ejected");
    assertEquals(Set.of(0), host.policy.operatorEjectedZones());
    host.updateEndpoint("c", 0, EndpointState.READY, 0);
    host.policy.endpointsUpdated(
        host.nowNanos,
        EndpointListKind.FULL,
        List.of(
            new Endpoint("a", 1, 0, 0, 0, EndpointState.READY, host.nowNanos),
            new Endpoint("b", 1, 1, 1, 0, EndpointState.READY, 0)));
    assertSentTo("b", 20);
    assertEquals(
        new ZoneStatus(0, host.policy.zoneStatus(0).sinceNanos(), 1, 0, true),
        host.policy.zoneStatus(0));
    assertTrue(host.policy.setZoneEjected(host.nowNanos, 0, false, 40_000 * MS));
    assertTrue(
        host.policy.setZoneEjected(host.nowNanos, 0, false, 1),
        "readmitting it twice does not change the ramp");
    int[] sentToZone = new int[3];
    for (int i = 0; i < 3_000; i++) {
      host.nowNanos += 20 * MS;
      String id = host.request(IDEMPOTENT, 1);
      sentToZone[i / 1_000] += host.attemptsOf(id).get(0).endpointId().equals("a") ? 1 : 0;
      host.endAttempt(id, Outcome.OK);
    }
    // Its traffic grows to the full half of all requests over 40 s: on average a quarter, three
    // quarters and all of that half in the three periods of 20 s.
    assertTrue(
        sentToZone[0] > 50
            && sentToZone[0] < 0.6 * sentToZone[1]
            && sentToZone[1] < 0.95 * sentToZone[2],
        Arrays.toString(sentToZone));
    assertEquals(1, host.policy.zoneStatus(0).trafficFraction());
  }

  @Test
  void zonesEjectedBeforeARestartStayEjectedWhenListedLater() {
    host.policy.restoreEjectedZones(host.nowNanos, Set.of(0));
    host.addEndpoints(2);
    assertSentTo("b", 20);
    host.policy.restoreEjectedZones(host.nowNanos, Set.of());
    assertEquals(Set.of(), host.policy.operatorEjectedZones());
    host.nowNanos += 1;
    assertTrue(
        host.policy.zoneStatus(0).trafficFraction() > 0
            && host.policy.zoneStatus(0).trafficFraction() < 0.01);
    host.policy.restoreEjectedZones(host.nowNanos, Set.of(0));
    assertEquals(
        0,
        host.policy.zoneStatus(0).trafficFraction(),
        "ejected again while its traffic was growing");
  }

  /**
   * The fleet's ramp sets a zone's traffic, except while an operator has the zone ejected or its
   * readmission is in progress.
   */
  @Test
  void theFleetsZoneRampIsFollowedUnlessAnOperatorDecided() {
    host.addEndpoints(2);
    host.policy.setZoneRamp(host.nowNanos, 0, new TrafficRamp(0, 0, host.nowNanos, 1));
    assertSentTo("b", 20);
    assertEquals(
        new ZoneStatus(0, host.nowNanos - 400 * MS, 1, 1, false), host.policy.zoneStatus(0));
    assertFalse(
        host.policy.setZoneEjected(host.nowNanos, 1, true, 0), "no usable endpoint would remain");
    host.updateEndpoint("c", 2, EndpointState.READY, 0);
    assertTrue(host.policy.setZoneEjected(host.nowNanos, 1, true, 0));
    host.policy.setZoneRamp(host.nowNanos, 1, new TrafficRamp(0.5, 1, host.nowNanos, 1_000 * MS));
    assertSentTo("c", 5);
    assertTrue(host.policy.setZoneEjected(host.nowNanos, 1, false, 1));
    host.nowNanos += 10 * MS;
    host.policy.setZoneRamp(host.nowNanos, 1, new TrafficRamp(0.5, 1, host.nowNanos, 1_000 * MS));
    assertEquals(
        0.5,
        host.policy.zoneStatus(1).trafficFraction(),
        0.01,
        "the operator's readmission is complete, so the fleet's ramp applies");
    host.policy.setZoneRamp(host.nowNanos, 0, null);
    assertEquals(1, host.policy.zoneStatus(0).trafficFraction());
  }

  /** A probe of an ejected zone is the first attempt of one idempotent request. */
  @Test
  void aZoneProbeIsOneAttemptOfAnIdempotentRequest() {
    host.addEndpoints(2);
    host.policy.setZoneRamp(host.nowNanos, 0, new TrafficRamp(0, 0, host.nowNanos, 1));
    host.policy.probeZone(host.nowNanos, 0);
    for (int requestClass : List.of(NOT_IDEMPOTENT, KEYED_CELL)) {
      String id = host.request(requestClass, 1);
      assertEquals("b", host.attemptsOf(id).get(0).endpointId());
      host.endAttempt(id, Outcome.OK);
    }
    String probe = host.request(IDEMPOTENT, 1);
    assertEquals("a", host.attemptsOf(probe).get(0).endpointId());
    host.endAttempt(probe, Outcome.TIMEOUT);
    assertEquals(
        "b", host.attemptsOf(probe).get(1).endpointId(), "the retry goes to a zone in use");
    host.endAttempt(probe, Outcome.OK);
    assertSentTo("b", 5);
    host.policy.probeZone(host.nowNanos, 0);
    host.policy.setZoneEjected(host.nowNanos, 0, true, 0);
    assertSentTo("b", 1);
  }

  /** At a site without zones, the endpoints are in none; a failing one is still skipped. */
  @Test
  void endpointsWithoutAZoneAreSelectedByTheirOwnHealth() {
    for (String id : List.of("a", "b")) {
      host.policy.endpointsUpdated(
          host.nowNanos,
          EndpointListKind.DELTA,
          List.of(new Endpoint(id, 1, -1, 0, 0, EndpointState.READY, 0)));
    }
    for (int i = 0; i < 20; i++) {
      host.nowNanos += 20 * MS;
      String id = host.request(IDEMPOTENT, 1);
      if (host.attemptsOf(id).get(0).endpointId().equals("a")) {
        host.endAttempt(id, Outcome.CONNECT_FAILED);
      }
      host.endAttempt(id, Outcome.OK);
    }
    host.attempts.clear();
    assertSentTo("b", 50);
  }

  /**
   * The report on a zone's health separates a failing zone from one failing endpoint and from
   * overload, and counts attempts that are unanswered for too long before they end.
   */
  @Test
  void zoneHealthSeparatesEndpointFaultsOverloadAndUnansweredAttempts() {
    for (String id : List.of("a", "c", "e")) {
      host.updateEndpoint(id, 0, EndpointState.READY, 0);
    }
    host.updateEndpoint("b", 1, EndpointState.READY, 0);
    failOneEndpoint();
    ZoneHealth oneFailing = host.policy.zoneHealth(host.nowNanos).get(0);
    assertTrue(
        oneFailing.failingEndpoints() == 1
            && oneFailing.observedEndpoints() >= 2
            && oneFailing.failureExcess() < 3
            && oneFailing.totalFailures() > 0,
        oneFailing.toString());
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      ids.add(host.request(IDEMPOTENT, 1));
    }
    List<String> inZone =
        ids.stream().filter(id -> !host.attemptsOf(id).get(0).endpointId().equals("b")).toList();
    host.nowNanos += MS;
    host.endAttempt(inZone.get(0), Outcome.REJECTED);
    ZoneHealth overloaded = host.policy.zoneHealth(host.nowNanos).get(0);
    assertEquals(oneFailing.totalFailures(), overloaded.totalFailures(), "overload is no failure");
    host.nowNanos += 900 * MS;
    assertTrue(
        host.policy.zoneHealth(host.nowNanos).get(0).failureExcess() < 0.5,
        "the attempts in flight were sent before the zone's last answer");
    ids.forEach(id -> host.endAttempt(id, Outcome.OK));
    host.nowNanos += MS;
    host.request(IDEMPOTENT, 1);
    host.request(IDEMPOTENT, 1);
    host.request(IDEMPOTENT, 1);
    host.nowNanos += 900 * MS;
    ZoneHealth stalled = host.policy.zoneHealth(host.nowNanos).get(0);
    assertTrue(
        stalled.failureExcess() >= 1 && stalled.unresponsiveEndpoints() >= 1,
        stalled + " " + host.attempts.subList(host.attempts.size() - 4, host.attempts.size()));
    assertEquals(0.75, stalled.endpointFraction(), 1e-9);
  }

  /** Makes one endpoint of the first zone, the first that is sent a request, fail from then on. */
  private void failOneEndpoint() {
    String failing = null;
    for (int i = 0; i < 60; i++) {
      host.nowNanos += 20 * MS;
      String id = host.request(IDEMPOTENT, 1);
      String endpoint = host.attemptsOf(id).get(0).endpointId();
      failing = failing == null && !endpoint.equals("b") ? endpoint : failing;
      host.endAttempt(id, endpoint.equals(failing) ? Outcome.ERROR : Outcome.OK);
      if (endpoint.equals(failing)) {
        host.endAttempt(id, Outcome.OK);
      }
    }
  }

  /** Sends requests, all of which must go to one endpoint at their first attempt. */
  private void assertSentTo(String endpointId, int requests) {
    for (int i = 0; i < requests; i++) {
      host.nowNanos += 20 * MS;
      String id = host.request(IDEMPOTENT, 1);
      assertEquals(endpointId, host.attemptsOf(id).get(0).endpointId());
      host.endAttempt(id, Outcome.OK);
    }
  }
}

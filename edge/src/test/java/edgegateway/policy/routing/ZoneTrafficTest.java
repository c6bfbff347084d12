package edgegateway.policy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.policy.api.TrafficRamp;
import edgegateway.policy.time.EventClock;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ZoneTrafficTest {
  private final EventClock clock = new EventClock(1_000);
  private final ZoneTraffic zones = new ZoneTraffic(clock);

  @Test
  void operatorRampTakesPrecedenceOverFleetUntilComplete() {
    zones.setFleetRamp(1, new TrafficRamp(0, 0, 0, 1));
    assertEquals(0, zones.trafficFraction(1));
    zones.readmitByOperator(1, 100);
    clock.set(1_049);
    assertEquals(0.5, zones.trafficFraction(1), 1e-9);
    assertTrue(zones.isDecidedByOperator(1));
    clock.set(1_100);
    assertEquals(
        0, zones.trafficFraction(1), "the fleet's ramp applies once the operator's is complete");
    assertFalse(zones.isDecidedByOperator(1));
  }

  @Test
  void ejectedZoneGetsNoTraffic() {
    zones.ejectByOperator(2, 100);
    assertEquals(0, zones.trafficFraction(2));
    assertEquals(1, zones.trafficFraction(3));
    assertEquals(Set.of(2), zones.ejectedByOperator());
  }

  @Test
  void probeIsReturnedOnceAndDroppedByNewFleetRamp() {
    zones.requestProbe(4);
    assertEquals(4, zones.pollZoneToProbe());
    assertNull(zones.pollZoneToProbe());
    zones.requestProbe(5);
    zones.setFleetRamp(5, null);
    assertNull(zones.pollZoneToProbe());
  }
}

package edgegateway.policy.routing;

import edgegateway.policy.api.TrafficRamp;
import edgegateway.policy.time.EventClock;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * How much of its traffic each zone gets: by operators, who may eject a zone and readmit it by a
 * ramp, and by the fleet's decisions. Operators come first, until what they readmitted has its
 * whole traffic again.
 */
final class ZoneTraffic {
  private final EventClock clock;
  private final Map<Integer, TrafficRamp> operatorRamps = new TreeMap<>();
  private final Map<Integer, TrafficRamp> fleetRamps = new TreeMap<>();
  private final Set<Integer> zonesToProbe = new TreeSet<>();

  ZoneTraffic(EventClock clock) {
    this.clock = clock;
  }

  /** Whether neither operators nor the fleet have ever changed a zone's traffic. */
  boolean isUnrestricted() {
    return operatorRamps.isEmpty() && fleetRamps.isEmpty();
  }

  /** The part of its traffic that a zone gets now, 0 to 1. */
  double fraction(int zone) {
    double byOperator = operatorFraction(zone);
    TrafficRamp byFleet = fleetRamps.get(zone);
    return byOperator < 1 || byFleet == null ? byOperator : byFleet.fractionAt(clock.nowNanos());
  }

  /** The part of its traffic that operators let a zone have now, 0 to 1. */
  double operatorFraction(int zone) {
    TrafficRamp ramp = operatorRamps.get(zone);
    return ramp == null ? 1 : ramp.fractionAt(clock.nowNanos());
  }

  boolean isEjectedByOperator(int zone) {
    TrafficRamp ramp = operatorRamps.get(zone);
    return ramp != null && ramp.endFraction() == 0;
  }

  /** The zones that operators have ejected. */
  Set<Integer> ejectedByOperator() {
    Set<Integer> ejected = new HashSet<>();
    for (int zone : operatorRamps.keySet()) {
      if (isEjectedByOperator(zone)) {
        ejected.add(zone);
      }
    }
    return ejected;
  }

  /** The zones that operators have ever ejected, in their order. */
  List<Integer> everEjectedByOperator() {
    return List.copyOf(operatorRamps.keySet());
  }

  /** Whether operators decide on a zone's traffic at present, and not the fleet. */
  boolean isDecidedByOperator(int zone) {
    return operatorRamps.containsKey(zone)
        && (operatorFraction(zone) < 1 || !fleetRamps.containsKey(zone));
  }

  /** When the present ramp of a zone began, in nanoseconds; 0 if it has none. */
  long rampStartNanos(int zone) {
    TrafficRamp ramp = operatorRamps.getOrDefault(zone, fleetRamps.get(zone));
    return ramp == null ? 0 : ramp.startNanos();
  }

  void ejectByOperator(int zone, long rampNanos) {
    operatorRamps.put(zone, new TrafficRamp(0, 0, clock.nowNanos(), Math.max(1, rampNanos)));
  }

  void readmitByOperator(int zone, long rampNanos) {
    operatorRamps.put(zone, new TrafficRamp(0, 1, clock.nowNanos(), Math.max(1, rampNanos)));
  }

  /** Sets a zone's traffic by decision of the fleet; null: all of it. */
  void setFleetRamp(int zone, TrafficRamp ramp) {
    if (ramp == null) {
      fleetRamps.remove(zone);
    } else {
      fleetRamps.put(zone, ramp);
    }
    zonesToProbe.remove(zone);
  }

  /** The next request that may be repeated freely shall be sent to this zone. */
  void requestProbe(int zone) {
    zonesToProbe.add(zone);
  }

  /** Removes and returns a zone to be probed; null if there is none. */
  Integer pollZoneToProbe() {
    if (zonesToProbe.isEmpty()) {
      return null;
    }
    Integer zone = zonesToProbe.iterator().next();
    zonesToProbe.remove(zone);
    return zone;
  }
}

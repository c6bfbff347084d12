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
 * The fraction of its usual traffic that each zone gets. Operators set it by ejecting a zone and
 * readmitting it with a ramp; the fleet sets it by its own ramps. An operator's ramp takes
 * precedence over the fleet's until the readmitted zone has its full traffic again.
 */
final class ZoneTraffic {
  private final EventClock clock;
  private final Map<Integer, TrafficRamp> operatorRamps = new TreeMap<>();
  private final Map<Integer, TrafficRamp> fleetRamps = new TreeMap<>();
  private final Set<Integer> zonesToProbe = new TreeSet<>();

  ZoneTraffic(EventClock clock) {
    this.clock = clock;
  }

  /** Whether no zone has a ramp, not even a completed one: all zones get their full traffic. */
  boolean isUnrestricted() {
    return operatorRamps.isEmpty() && fleetRamps.isEmpty();
  }

  /** The fraction of its usual traffic that a zone gets now, 0 to 1. */
  double trafficFraction(int zone) {
    double byOperator = operatorTrafficFraction(zone);
    TrafficRamp byFleet = fleetRamps.get(zone);
    return byOperator < 1 || byFleet == null ? byOperator : byFleet.fractionAt(clock.nowNanos());
  }

  /** The fraction of its usual traffic that operators allow a zone now, 0 to 1. */
  double operatorTrafficFraction(int zone) {
    TrafficRamp ramp = operatorRamps.get(zone);
    return ramp == null ? 1 : ramp.fractionAt(clock.nowNanos());
  }

  /** Whether an operator has ejected a zone and not readmitted it since. */
  boolean isEjectedByOperator(int zone) {
    TrafficRamp ramp = operatorRamps.get(zone);
    return ramp != null && ramp.endFraction() == 0;
  }

  /** The zones that are ejected by operators now. */
  Set<Integer> ejectedByOperator() {
    Set<Integer> ejected = new HashSet<>();
    for (int zone : operatorRamps.keySet()) {
      if (isEjectedByOperator(zone)) {
        ejected.add(zone);
      }
    }
    return ejected;
  }

  /** The zones that operators have ever ejected, in the order of their indexes. */
  List<Integer> everEjectedByOperator() {
    return List.copyOf(operatorRamps.keySet());
  }

  /** Whether a zone's traffic is now set by an operator rather than by the fleet. */
  boolean isDecidedByOperator(int zone) {
    return operatorRamps.containsKey(zone)
        && (operatorTrafficFraction(zone) < 1 || !fleetRamps.containsKey(zone));
  }

  /**
   * When the ramp of a zone started, in nanoseconds: the operator's ramp if there is one, else the
   * fleet's; 0 if there is neither.
   */
  long rampStartNanos(int zone) {
    TrafficRamp ramp = operatorRamps.getOrDefault(zone, fleetRamps.get(zone));
    return ramp == null ? 0 : ramp.startNanos();
  }

  /** Ejects a zone for an operator: it gets no traffic from now on. */
  void ejectByOperator(int zone, long rampNanos) {
    operatorRamps.put(zone, new TrafficRamp(0, 0, clock.nowNanos(), Math.max(1, rampNanos)));
  }

  /** Readmits a zone for an operator: its traffic grows linearly for {@code rampNanos}. */
  void readmitByOperator(int zone, long rampNanos) {
    operatorRamps.put(zone, new TrafficRamp(0, 1, clock.nowNanos(), Math.max(1, rampNanos)));
  }

  /**
   * Sets a zone's traffic by decision of the fleet, and drops a probe of the zone that was
   * requested.
   *
   * @param ramp null for full traffic
   */
  void setFleetRamp(int zone, TrafficRamp ramp) {
    if (ramp == null) {
      fleetRamps.remove(zone);
    } else {
      fleetRamps.put(zone, ramp);
    }
    zonesToProbe.remove(zone);
  }

  /** Requests that the first attempt of the next idempotent request goes to this zone. */
  void requestProbe(int zone) {
    zonesToProbe.add(zone);
  }

  /** Removes and returns the first zone for which a probe is requested; null if there is none. */
  Integer pollZoneToProbe() {
    if (zonesToProbe.isEmpty()) {
      return null;
    }
    Integer zone = zonesToProbe.iterator().next();
    zonesToProbe.remove(zone);
    return zone;
  }
}

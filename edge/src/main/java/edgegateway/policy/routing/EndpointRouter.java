package edgegateway.policy.routing;

import edgegateway.policy.api.AttemptResult;
import edgegateway.policy.api.Endpoint;
import edgegateway.policy.api.EndpointListKind;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.PolicyActions;
import edgegateway.policy.api.PolicySettings;
import edgegateway.policy.api.TrafficRamp;
import edgegateway.policy.api.ZoneHealth;
import edgegateway.policy.api.ZoneStatus;
import edgegateway.policy.time.EventClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/** The endpoints and zones, and the choice of an endpoint for each attempt. */
public final class EndpointRouter {
  private final PolicySettings settings;
  private final SplittableRandom random;
  private final PolicyActions actions;
  private final ZoneTraffic zones;
  private final EndpointRegistry registry;
  private final LoadReports loads;
  private final SlowStartLimiter slowStart;
  private final RecentResponders recent = new RecentResponders();
  private final EndpointSelector selector;
  private final ZoneHealthMonitor zoneHealth;

  /** Creates a router that knows no endpoint; it draws nothing from {@code random} yet. */
  public EndpointRouter(
      PolicySettings settings, EventClock clock, SplittableRandom random, PolicyActions actions) {
    this.settings = settings;
    this.random = random;
    this.actions = actions;
    zones = new ZoneTraffic(clock);
    registry = new EndpointRegistry(settings, clock, actions, new PeerAverages(), zones);
    loads = new LoadReports(settings.loadReportNames());
    slowStart = new SlowStartLimiter(clock, random, settings.nodeCount());
    EndpointScorer scorer = new EndpointScorer(settings, clock, loads);
    selector = new EndpointSelector(settings, random, registry, zones, scorer, slowStart, recent);
    zoneHealth = new ZoneHealthMonitor(clock);
  }

  /** Takes over the endpoint list, or changes to it. */
  public void endpointsUpdated(EndpointListKind kind, List<Endpoint> entries) {
    registry.update(kind, entries);
    registry.refresh();
  }

  /** Ejects an endpoint for an operator, or readmits it in slow start. */
  public EjectionResult setEndpointEjected(String id, boolean ejected) {
    if (registry.get(id) == null && !registry.ejectedByOperator().contains(id)) {
      return EjectionResult.REJECTED;
    }
    if (ejected) {
      registry.eject(id);
    } else {
      registry.readmit(id);
    }
    registry.refresh();
    return EjectionResult.CHANGED;
  }

  /** Ejects exactly these endpoints for an operator, listed or not. */
  public void restoreEjectedEndpoints(Set<String> ids) {
    for (String id : List.copyOf(registry.ejectedByOperator())) {
      if (!ids.contains(id)) {
        registry.readmit(id);
      }
    }
    ids.forEach(registry::eject);
    registry.refresh();
  }

  /**
   * Ejects a zone for an operator, or readmits it with its endpoints in slow start.
   *
   * @param rampNanos how long the zone's traffic takes to come back
   */
  public EjectionResult setZoneEjected(int zone, boolean ejected, long rampNanos) {
    if (ejected && noneRoutableOutside(zone)) {
      return EjectionResult.REJECTED;
    }
    if (ejected == zones.isEjectedByOperator(zone)) {
      return EjectionResult.UNCHANGED;
    }
    if (ejected) {
      zones.ejectByOperator(zone, rampNanos);
    } else {
      zones.readmitByOperator(zone, rampNanos);
      registry.readmitZone(zone);
    }
    registry.refresh();
    return EjectionResult.CHANGED;
  }

  private boolean noneRoutableOutside(int zone) {
    for (EndpointTracker endpoint : registry.routable()) {
      if (endpoint.zone() != zone) {
        return false;
      }
    }
    return true;
  }

  /** Ejects zones for an operator, whatever endpoints are left. */
  public void ejectZones(Set<Integer> ejected) {
    for (int zone : ejected) {
      if (!zones.isEjectedByOperator(zone)) {
        zones.ejectByOperator(zone, 1);
      }
    }
    registry.refresh();
  }

  /** The zones that operators have ever ejected. */
  public List<Integer> zonesEverEjectedByOperator() {
    return zones.everEjectedByOperator();
  }

  /** Sets a zone's traffic by decision of the fleet; null: all of it. */
  public void setZoneRamp(int zone, TrafficRamp ramp) {
    zones.setFleetRamp(zone, ramp);
    registry.refresh();
  }

  /** The next new request that may be repeated freely goes to this zone. */
  public void probeZone(int zone) {
    zones.requestProbe(zone);
  }

  /** Usable endpoints, each in slow start counted by the part of its capacity that it bears. */
  public double usableCapacity() {
    // Not a plain loop: a stream's sum compensates rounding.
    return registry.usable().stream().mapToDouble(EndpointRouter::capacity).sum();
  }

  private static double capacity(EndpointTracker endpoint) {
    return endpoint.slowStart().inProgress() ? endpoint.slowStart().capacityFraction() : 1;
  }

  /**
   * The capacity changed or time passed: updates the limit on endpoints in slow start.
   *
   * @param effectiveEndpoints the usable capacity as the concurrency limit reckons it
   */
  public void capacityChanged(double effectiveEndpoints) {
    int warm = 0;
    for (EndpointTracker endpoint : registry.usable()) {
      warm += endpoint.slowStart().inProgress() ? 0 : 1;
    }
    slowStart.capacityChanged(effectiveEndpoints, warm);
  }

  /**
   * Chooses the endpoint of a request's next attempt.
   *
   * @return null if none may be used now
   */
  public EndpointTracker select(RoutableRequest request) {
    return selector.select(request);
  }

  /** Counts an attempt that is sent to an endpoint. */
  public void attemptSent(RoutableRequest request, EndpointTracker endpoint) {
    slowStart.attemptSent(request.expectedServiceSeconds());
    endpoint.addInFlight(request);
  }

  /** While its client sends the body, an attempt is no load: a slow client holds no place. */
  public void bodyForwarded(RoutableRequest request, EndpointTracker endpoint) {
    endpoint.removeInFlight(request);
  }

  /** From now on the endpoint works on the attempt. */
  public void uploadCompleted(RoutableRequest request, EndpointTracker endpoint) {
    endpoint.addInFlight(request);
  }

  /**
   * Counts the end of an attempt.
   *
   * @return whether the attempt counted as in progress until now
   */
  public boolean attemptEnded(
      RoutableRequest request, EndpointTracker endpoint, AttemptResult result) {
    boolean inProgress = endpoint.removeInFlight(request);
    Outcome outcome = result.outcome();
    if (outcome == Outcome.CANCELLED || outcome == Outcome.NOT_SENT) {
      return inProgress;
    }
    EndpointStatistics statistics = endpoint.statistics();
    statistics.attemptEnded(
        endpoint.entry(), result, request.expectedServiceSeconds(), registry.routable().size());
    zoneHealth.attemptEnded(
        endpoint.zone(), statistics.lastAttemptFailed(), statistics.lastAttemptUnanswered());
    if (outcome == Outcome.OK) {
      recent.add(endpoint);
    }
    return inProgress;
  }

  /** Stores the load that a health check reported; unknown endpoints are ignored. */
  public void healthChecked(String id, List<Double> report) {
    EndpointTracker endpoint = registry.get(id);
    if (endpoint != null) {
      endpoint.loadReported(loads.add(report));
      recent.add(endpoint);
    }
  }

  /**
   * Asks one random endpoint for its load, where own answers come less than once a second from each
   * and the settings allow health checks.
   */
  public void checkHealthIfTrafficLow(RoutableRequest request) {
    List<EndpointTracker> routable = registry.routable();
    boolean trafficLow =
        slowStart.workPerSecond() < request.expectedServiceSeconds() * routable.size();
    boolean reportsLoad =
        settings.limits().healthChecksAllowed() && !settings.loadReportNames().isEmpty();
    if (trafficLow && reportsLoad) {
      actions.healthCheck(routable.get(random.nextInt(routable.size())).id());
    }
  }

  /** The evidence on the health of each zone with listed endpoints. */
  public List<ZoneHealth> zoneHealth() {
    return zoneHealth.report(registry.all());
  }

  /** How a zone stands now. */
  public ZoneStatus zoneStatus(int zone) {
    int listed = 0;
    int usable = 0;
    for (EndpointTracker endpoint : registry.all()) {
      if (endpoint.listed() && endpoint.zone() == zone) {
        listed++;
        usable += endpoint.usable() ? 1 : 0;
      }
    }
    return new ZoneStatus(
        zones.fraction(zone),
        zones.rampStartNanos(zone),
        listed,
        usable,
        zones.isDecidedByOperator(zone));
  }

  /** The zones that operators have ejected. */
  public Set<Integer> zonesEjectedByOperator() {
    return zones.ejectedByOperator();
  }

  /** The endpoints that operators have ejected, listed or not. */
  public Set<String> endpointsEjectedByOperator() {
    return Set.copyOf(registry.ejectedByOperator());
  }

  /** The listed endpoints that are avoided: ejected by an operator, draining, or outliers. */
  public List<String> skippedEndpoints() {
    List<String> skipped = new ArrayList<>();
    for (EndpointTracker endpoint : registry.all()) {
      boolean outlier = endpoint.statistics().isOutlier(endpoint.entry());
      if (endpoint.listed() && (!endpoint.usable() || outlier)) {
        skipped.add(endpoint.id());
      }
    }
    return skipped;
  }
}

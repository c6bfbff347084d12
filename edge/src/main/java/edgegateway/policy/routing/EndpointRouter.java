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

/**
 * Tracks endpoints and zones, and chooses an endpoint for each attempt. Not thread-safe: called
 * only on the policy's thread.
 */
public final class EndpointRouter {
  private final PolicySettings settings;
  private final SplittableRandom random;
  private final PolicyActions actions;
  private final ZoneTraffic zones;
  private final EndpointRegistry registry;
  private final LoadReports loadReports;
  private final SlowStartLimiter slowStartLimiter;
  private final RecentResponders recentResponders = new RecentResponders();
  private final EndpointSelector selector;
  private final ZoneHealthMonitor zoneHealth;

  /** Creates a router without endpoints; the constructor draws nothing from {@code random}. */
  public EndpointRouter(
      PolicySettings settings, EventClock clock, SplittableRandom random, PolicyActions actions) {
    this.settings = settings;
    this.random = random;
    this.actions = actions;
    zones = new ZoneTraffic(clock);
    registry = new EndpointRegistry(settings, clock, actions, new PeerAverages(), zones);
    loadReports = new LoadReports(settings.loadReportNames());
    slowStartLimiter = new SlowStartLimiter(clock, random, settings.nodeCount());
    EndpointScorer scorer = new EndpointScorer(settings, clock, loadReports);
    selector =
        new EndpointSelector(
            settings, random, registry, zones, scorer, slowStartLimiter, recentResponders);
    zoneHealth = new ZoneHealthMonitor(clock);
  }

  /** Applies an update of the endpoint list. */
  public void endpointsUpdated(EndpointListKind kind, List<Endpoint> entries) {
    registry.update(kind, entries);
    registry.refresh();
  }

  /**
   * Ejects an endpoint for an operator, or readmits it in slow start.
   *
   * @return {@link EjectionResult#REJECTED} if the endpoint is unknown, else {@link
   *     EjectionResult#CHANGED}
   */
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

  /**
   * Ejects exactly these endpoints for an operator, listed or not; others that operators had
   * ejected are readmitted in slow start.
   */
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
   * @param rampNanos for how long the traffic of a readmitted zone grows until it is full
   * @return {@link EjectionResult#REJECTED} if ejecting the zone would leave no routable endpoint
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
      registry.beginSlowStartInZone(zone);
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

  /** Ejects zones for an operator, even if that leaves no routable endpoint. */
  public void ejectZones(Set<Integer> ejected) {
    for (int zone : ejected) {
      if (!zones.isEjectedByOperator(zone)) {
        zones.ejectByOperator(zone, 1);
      }
    }
    registry.refresh();
  }

  /** The zones that operators have ever ejected, readmitted ones included. */
  public List<Integer> zonesEverEjectedByOperator() {
    return zones.everEjectedByOperator();
  }

  /**
   * Sets a zone's traffic by decision of the fleet.
   *
   * @param ramp null for full traffic
   */
  public void setZoneRamp(int zone, TrafficRamp ramp) {
    zones.setFleetRamp(zone, ramp);
    registry.refresh();
  }

  /** Sends the first attempt of the next idempotent request to this zone. */
  public void probeZone(int zone) {
    zones.requestProbe(zone);
  }

  /** The number of usable endpoints, each in slow start counted by its capacity fraction. */
  public double usableCapacity() {
    // Summed by a stream rather than a loop, because a stream's sum compensates rounding errors.
    return registry.usable().stream().mapToDouble(EndpointRouter::capacity).sum();
  }

  private static double capacity(EndpointTracker endpoint) {
    return endpoint.slowStart().inProgress() ? endpoint.slowStart().capacityFraction() : 1;
  }

  /**
   * Updates the limit on endpoints in slow start, after a change of the endpoints or as time
   * passes.
   *
   * @param effectiveEndpoints the usable capacity, in endpoints, on which the concurrency limit is
   *     based
   */
  public void capacityChanged(double effectiveEndpoints) {
    int warmedUpEndpoints = 0;
    for (EndpointTracker endpoint : registry.usable()) {
      warmedUpEndpoints += endpoint.slowStart().inProgress() ? 0 : 1;
    }
    slowStartLimiter.capacityChanged(effectiveEndpoints, warmedUpEndpoints);
  }

  /**
   * Chooses the endpoint for a request's next attempt.
   *
   * @return null if no endpoint may be used now
   */
  public EndpointTracker select(RoutableRequest request) {
    return selector.select(request);
  }

  /** Counts an attempt that is sent to an endpoint now. */
  public void attemptSent(RoutableRequest request, EndpointTracker endpoint) {
    slowStartLimiter.attemptSent(request.expectedServiceSeconds());
    endpoint.addInFlight(request);
  }

  /**
   * Counts an attempt as not in flight while its client uploads a long body, so that a slow client
   * does not make the endpoint appear loaded.
   */
  public void bodyForwarded(RoutableRequest request, EndpointTracker endpoint) {
    endpoint.removeInFlight(request);
  }

  /** Counts an attempt as in flight again: the endpoint now works on it. */
  public void uploadCompleted(RoutableRequest request, EndpointTracker endpoint) {
    endpoint.addInFlight(request);
  }

  /**
   * Counts the end of an attempt.
   *
   * @return whether the attempt counted as in flight until now
   */
  public boolean attemptEnded(
      RoutableRequest request, EndpointTracker endpoint, AttemptResult result) {
    boolean wasInFlight = endpoint.removeInFlight(request);
    Outcome outcome = result.outcome();
    if (outcome == Outcome.CANCELLED || outcome == Outcome.NOT_SENT) {
      return wasInFlight;
    }
    EndpointStatistics statistics = endpoint.statistics();
    statistics.attemptEnded(
        endpoint.entry(), result, request.expectedServiceSeconds(), registry.routable().size());
    zoneHealth.attemptEnded(
        endpoint.zone(), statistics.lastAttemptFailed(), statistics.lastAttemptUnanswered());
    if (outcome == Outcome.OK) {
      recentResponders.add(endpoint);
    }
    return wasInFlight;
  }

  /**
   * Stores the load that a health check reported; an unknown endpoint is ignored.
   *
   * @param report the reported values; empty if the endpoint reported none
   */
  public void healthChecked(String id, List<Double> report) {
    EndpointTracker endpoint = registry.get(id);
    if (endpoint != null) {
      endpoint.loadReported(loadReports.add(report));
      recentResponders.add(endpoint);
    }
  }

  /**
   * Checks the health of one random endpoint to get its load report, if this node sends each
   * endpoint less work than one such request per second. Does nothing if the settings do not allow
   * health checks or name no values of load reports.
   */
  public void checkHealthIfTrafficLow(RoutableRequest request) {
    List<EndpointTracker> routable = registry.routable();
    boolean trafficLow =
        slowStartLimiter.workPerSecond() < request.expectedServiceSeconds() * routable.size();
    boolean reportsLoad =
        settings.limits().healthChecksAllowed() && !settings.loadReportNames().isEmpty();
    if (trafficLow && reportsLoad) {
      actions.healthCheck(routable.get(random.nextInt(routable.size())).id());
    }
  }

  /** The health of each zone with listed endpoints, as this node's attempts show it. */
  public List<ZoneHealth> zoneHealth() {
    return zoneHealth.report(registry.all());
  }

  /** How a zone is used now. */
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
        zones.trafficFraction(zone),
        zones.rampStartNanos(zone),
        listed,
        usable,
        zones.isDecidedByOperator(zone));
  }

  /** The zones that are ejected by operators now. */
  public Set<Integer> zonesEjectedByOperator() {
    return zones.ejectedByOperator();
  }

  /**
   * The ids of the listed endpoints that get no or hardly any requests: draining, ejected by an
   * operator (alone or with their zone), or outliers.
   */
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

package edgegateway.policy.routing;

import edgegateway.policy.api.DeduplicationScope;
import edgegateway.policy.api.Idempotency;
import edgegateway.policy.api.PolicySettings;
import edgegateway.policy.api.RequestClass;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/** Chooses the endpoint of each attempt. */
final class EndpointSelector {
  /**
   * Random candidates per request, as a multiple of the routable endpoints per node: as many as
   * this if there are as many nodes as endpoints, more if there are fewer nodes.
   */
  private static final int CANDIDATES_FACTOR = 3;

  private static final int MIN_CANDIDATES = 2;

  /**
   * A score is increased at random by up to this fraction. Otherwise nodes with equally little data
   * would all choose the first endpoint in the list.
   */
  private static final double MAX_SCORE_NOISE = 0.1;

  private final PolicySettings settings;
  private final SplittableRandom random;
  private final EndpointRegistry registry;
  private final ZoneTraffic zones;
  private final EndpointScorer scorer;
  private final SlowStartLimiter slowStartLimiter;
  private final RecentResponders recentResponders;

  EndpointSelector(
      PolicySettings settings,
      SplittableRandom random,
      EndpointRegistry registry,
      ZoneTraffic zones,
      EndpointScorer scorer,
      SlowStartLimiter slowStartLimiter,
      RecentResponders recentResponders) {
    this.settings = settings;
    this.random = random;
    this.registry = registry;
    this.zones = zones;
    this.scorer = scorer;
    this.slowStartLimiter = slowStartLimiter;
    this.recentResponders = recentResponders;
  }

  /**
   * Chooses the endpoint for a request's next attempt: the candidate with the lowest score, among
   * those whose zone's traffic fraction admits the request and whose slow start, if in progress,
   * allows it. If a zone is to be probed, the first attempt of an idempotent request goes there
   * instead.
   *
   * @return null if no endpoint may be used now
   */
  EndpointTracker select(RoutableRequest request) {
    boolean idempotent = request.requestClass().idempotency() == Idempotency.IDEMPOTENT;
    EndpointTracker probeEndpoint =
        request.attempts() == 0 && idempotent ? pollProbeEndpoint() : null;
    return probeEndpoint != null ? probeEndpoint : selectByScore(request);
  }

  private EndpointTracker selectByScore(RoutableRequest request) {
    EndpointTracker best = null;
    double bestScore = Double.MAX_VALUE;
    // One draw for all endpoints: with a draw for each, a zone with several endpoints would get
    // more than its traffic fraction.
    double zoneDraw = zones.isUnrestricted() ? 0 : random.nextDouble();
    for (EndpointTracker endpoint : candidates(request)) {
      double score = scorer.score(endpoint) * (1 + MAX_SCORE_NOISE * random.nextDouble());
      if (score < bestScore
          && zoneDraw < zones.trafficFraction(endpoint.zone())
          && slowStartAllows(endpoint, request)) {
        best = endpoint;
        bestScore = score;
      }
    }
    return best;
  }

  private boolean slowStartAllows(EndpointTracker endpoint, RoutableRequest request) {
    return !endpoint.slowStart().inProgress()
        || slowStartLimiter.tryAcquire(endpoint, request.expectedServiceSeconds());
  }

  /**
   * Returns the endpoints to be scored. For a keyed request that may have been executed, these are
   * all endpoints that would recognize the retry as a duplicate. Otherwise they are a random few
   * and the recent responders: if all nodes ranked the full list, they would rank it alike and
   * overload the best endpoint.
   */
  private List<EndpointTracker> candidates(RoutableRequest request) {
    if (mustStayInDeduplicationScope(request)) {
      return endpointsInDeduplicationScope(request);
    }
    List<EndpointTracker> routable = registry.routable();
    int count =
        Math.max(MIN_CANDIDATES, CANDIDATES_FACTOR * routable.size() / settings.nodeCount());
    if (count >= routable.size()) {
      return routable;
    }
    List<EndpointTracker> candidates = new ArrayList<>();
    addRandom(candidates, routable, count);
    for (EndpointTracker endpoint : recentResponders.slots()) {
      if (endpoint != null && endpoint.usable()) {
        candidates.add(endpoint);
      }
    }
    return candidates;
  }

  private void addRandom(
      List<EndpointTracker> candidates, List<EndpointTracker> routable, int count) {
    Set<Integer> drawnIndexes = new HashSet<>();
    while (drawnIndexes.size() < count) {
      int index = random.nextInt(routable.size());
      if (drawnIndexes.add(index)) {
        candidates.add(routable.get(index));
      }
    }
  }

  private static boolean mustStayInDeduplicationScope(RoutableRequest request) {
    RequestClass requestClass = request.requestClass();
    return request.mayHaveExecuted()
        && requestClass.idempotency() == Idempotency.KEYED
        && requestClass.deduplicationScope() != DeduplicationScope.ALL;
  }

  private List<EndpointTracker> endpointsInDeduplicationScope(RoutableRequest request) {
    List<EndpointTracker> inScope = new ArrayList<>();
    EndpointTracker executionEndpoint = request.possibleExecutionEndpoint();
    boolean byZone = request.requestClass().deduplicationScope() == DeduplicationScope.ZONE;
    for (EndpointTracker endpoint : registry.routable()) {
      boolean sameScope =
          byZone
              ? endpoint.zone() == executionEndpoint.zone()
              : endpoint.entry().cell() == executionEndpoint.entry().cell();
      if (sameScope) {
        inScope.add(endpoint);
      }
    }
    return inScope;
  }

  /**
   * Takes up the next requested zone probe and returns a random usable endpoint of that zone; null
   * if no probe is requested or the zone has no usable endpoint.
   */
  private EndpointTracker pollProbeEndpoint() {
    Integer zone = zones.pollZoneToProbe();
    if (zone == null) {
      return null;
    }
    List<EndpointTracker> inZone = new ArrayList<>();
    for (EndpointTracker endpoint : registry.usable()) {
      if (endpoint.zone() == zone) {
        inZone.add(endpoint);
      }
    }
    return inZone.isEmpty() ? null : inZone.get(random.nextInt(inZone.size()));
  }
}

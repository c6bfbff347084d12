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
   * With as many nodes as endpoints, each looks at this many endpoints for a request; with fewer
   * nodes at more.
   */
  private static final int CANDIDATES_FACTOR = 3;

  private static final int MIN_CANDIDATES = 2;

  /** Nodes that know as little as each other must not all choose the first of the list. */
  private static final double SCORE_NOISE = 0.1;

  private final PolicySettings settings;
  private final SplittableRandom random;
  private final EndpointRegistry registry;
  private final ZoneTraffic zones;
  private final EndpointScorer scorer;
  private final SlowStartLimiter slowStart;
  private final RecentResponders recent;

  EndpointSelector(
      PolicySettings settings,
      SplittableRandom random,
      EndpointRegistry registry,
      ZoneTraffic zones,
      EndpointScorer scorer,
      SlowStartLimiter slowStart,
      RecentResponders recent) {
    this.settings = settings;
    this.random = random;
    this.registry = registry;
    this.zones = zones;
    this.scorer = scorer;
    this.slowStart = slowStart;
    this.recent = recent;
  }

  /**
   * Returns the endpoint that should answer soonest: of the candidates the one with the lowest
   * score, in a zone with traffic and, in slow start, with work left to be granted. A zone to be
   * probed goes first.
   *
   * @return null if none may be used now
   */
  EndpointTracker select(RoutableRequest request) {
    boolean repeatable = request.requestClass().idempotency() == Idempotency.IDEMPOTENT;
    EndpointTracker probed = request.attempts() == 0 && repeatable ? zoneProbe() : null;
    return probed != null ? probed : selectByScore(request);
  }

  private EndpointTracker selectByScore(RoutableRequest request) {
    EndpointTracker best = null;
    double bestScore = Double.MAX_VALUE;
    // Drawn once for all endpoints of a zone: drawn for each, the zone would get more than its
    // part.
    double zoneDraw = zones.isUnrestricted() ? 0 : random.nextDouble();
    for (EndpointTracker endpoint : candidates(request)) {
      double score = scorer.score(endpoint) * (1 + SCORE_NOISE * random.nextDouble());
      if (score < bestScore
          && zoneDraw < zones.fraction(endpoint.zone())
          && hasRoom(endpoint, request)) {
        best = endpoint;
        bestScore = score;
      }
    }
    return best;
  }

  private boolean hasRoom(EndpointTracker endpoint, RoutableRequest request) {
    return !endpoint.slowStart().inProgress()
        || slowStart.tryAcquire(endpoint, request.expectedServiceSeconds());
  }

  /**
   * For a keyed request that may have been executed: all endpoints that would drop the repeat. Else
   * a random few, as all nodes would rank the whole list alike and crowd the best; and the recent
   * responders.
   */
  private List<EndpointTracker> candidates(RoutableRequest request) {
    if (isBoundToScope(request)) {
      return withinScope(request);
    }
    List<EndpointTracker> routable = registry.routable();
    int count =
        Math.max(MIN_CANDIDATES, CANDIDATES_FACTOR * routable.size() / settings.nodeCount());
    if (count >= routable.size()) {
      return routable;
    }
    List<EndpointTracker> candidates = new ArrayList<>();
    addRandom(candidates, routable, count);
    for (EndpointTracker endpoint : recent.slots()) {
      if (endpoint != null && endpoint.usable()) {
        candidates.add(endpoint);
      }
    }
    return candidates;
  }

  private void addRandom(
      List<EndpointTracker> candidates, List<EndpointTracker> routable, int count) {
    Set<Integer> drawn = new HashSet<>();
    while (drawn.size() < count) {
      int index = random.nextInt(routable.size());
      if (drawn.add(index)) {
        candidates.add(routable.get(index));
      }
    }
  }

  private static boolean isBoundToScope(RoutableRequest request) {
    RequestClass requestClass = request.requestClass();
    return request.mayHaveExecuted()
        && requestClass.idempotency() == Idempotency.KEYED
        && requestClass.deduplicationScope() != DeduplicationScope.ALL;
  }

  private List<EndpointTracker> withinScope(RoutableRequest request) {
    List<EndpointTracker> within = new ArrayList<>();
    EndpointTracker first = request.possibleExecutionEndpoint();
    boolean byZone = request.requestClass().deduplicationScope() == DeduplicationScope.ZONE;
    for (EndpointTracker endpoint : registry.routable()) {
      boolean same =
          byZone
              ? endpoint.zone() == first.zone()
              : endpoint.entry().cell() == first.entry().cell();
      if (same) {
        within.add(endpoint);
      }
    }
    return within;
  }

  /** A random endpoint of a zone to be probed; null if there is none. */
  private EndpointTracker zoneProbe() {
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

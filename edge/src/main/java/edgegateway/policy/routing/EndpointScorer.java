package edgegateway.policy.routing;

import edgegateway.policy.api.PolicySettings;
import edgegateway.policy.time.EventClock;

/**
 * Scores endpoints for selection: the lower the score, the sooner the endpoint is expected to
 * answer.
 *
 * <p>score = latency ratio * load factor * (1 + attempts in flight / weight) / (success
 * probability)<sup>2</sup>
 */
final class EndpointScorer {
  /** Time constant of the exponential decay of a load report's effect. */
  private static final double LOAD_REPORT_DECAY_SECONDS = 1;

  /** Limits the error rate, so that an endpoint that always fails still gets a finite score. */
  private static final double MAX_ERROR_RATE = 0.97;

  /** Endpoints outside this node's zone get a slightly higher score. */
  private static final double REMOTE_ZONE_FACTOR = 1.05;

  private final PolicySettings settings;
  private final EventClock clock;
  private final LoadReports loadReports;

  EndpointScorer(PolicySettings settings, EventClock clock, LoadReports loadReports) {
    this.settings = settings;
    this.clock = clock;
    this.loadReports = loadReports;
  }

  /** Returns the score of an endpoint now. */
  double score(EndpointTracker endpoint) {
    double latency = latencyRatio(endpoint) * loadFactor(endpoint);
    double successProbability =
        1 - Math.min(MAX_ERROR_RATE, endpoint.statistics().expectedErrorRate(endpoint.entry()));
    double queueFactor = 1 + endpoint.inFlightCount() / weight(endpoint);
    double score = latency * queueFactor / (successProbability * successProbability);
    return endpoint.zone() == settings.localZone() ? score : score * REMOTE_ZONE_FACTOR;
  }

  /**
   * The expected latency ratio, or half the age of the oldest attempt in flight as such a ratio if
   * that is higher: an endpoint that has stopped answering is recognized before the attempt ends.
   */
  private double latencyRatio(EndpointTracker endpoint) {
    double expected = endpoint.statistics().expectedLatencyRatio(endpoint.entry());
    RoutableRequest oldest = endpoint.oldestInFlight();
    if (oldest == null) {
      return expected;
    }
    double halfAgeRatio =
        clock.secondsSince(oldest.sentAtNanos()) / oldest.expectedServiceSeconds() / 2;
    return Math.max(expected, halfAgeRatio);
  }

  /** Above 1 for an endpoint with more than the average load, below 1 for one with less. */
  private double loadFactor(EndpointTracker endpoint) {
    double average = loadReports.averageLoad();
    double ageSeconds = clock.secondsSince(endpoint.loadReportedAtNanos());
    double decayFactor = Math.exp(-ageSeconds / LOAD_REPORT_DECAY_SECONDS);
    return 1 + (endpoint.load() - average) / (1 + average) * decayFactor;
  }

  /** The endpoint's weight; 1 if weights are not used or the endpoint has none. */
  private double weight(EndpointTracker endpoint) {
    double weight = endpoint.entry().weight();
    return settings.endpointWeightsUsed() && weight > 0 ? weight : 1;
  }
}

package edgegateway.policy.routing;

import edgegateway.policy.api.PolicySettings;
import edgegateway.policy.time.EventClock;

/**
 * Scores endpoints for selection: the lower, the sooner a request should be answered. A score is
 * the latency to expect, by its own attempts and load report, times the attempts in progress, over
 * the squared chance of success.
 */
final class EndpointScorer {
  private static final double LOAD_REPORT_LIFE_SECONDS = 1;

  /** Endpoints that seem to fail always still get a finite score. */
  private static final double MAX_ERROR_RATE = 0.97;

  private static final double REMOTE_ZONE_FACTOR = 1.05;

  private final PolicySettings settings;
  private final EventClock clock;
  private final LoadReports loads;

  EndpointScorer(PolicySettings settings, EventClock clock, LoadReports loads) {
    this.settings = settings;
    this.clock = clock;
    this.loads = loads;
  }

  double score(EndpointTracker endpoint) {
    double latency = latencyRatio(endpoint) * loadFactor(endpoint);
    double success =
        1 - Math.min(MAX_ERROR_RATE, endpoint.statistics().expectedErrorRate(endpoint.entry()));
    double queue = 1 + endpoint.outstanding() / weight(endpoint);
    double score = latency * queue / (success * success);
    return endpoint.zone() == settings.localZone() ? score : score * REMOTE_ZONE_FACTOR;
  }

  /** An answer that is overdue tells of trouble before the attempt ends. */
  private double latencyRatio(EndpointTracker endpoint) {
    double expected = endpoint.statistics().expectedLatencyRatio(endpoint.entry());
    RoutableRequest oldest = endpoint.oldestOutstanding();
    if (oldest == null) {
      return expected;
    }
    double waited = clock.secondsSince(oldest.sentAtNanos()) / oldest.expectedServiceSeconds() / 2;
    return Math.max(expected, waited);
  }

  private double loadFactor(EndpointTracker endpoint) {
    double average = loads.averageLoad();
    double ageSeconds = clock.secondsSince(endpoint.loadReportedNanos());
    double kept = Math.exp(-ageSeconds / LOAD_REPORT_LIFE_SECONDS);
    return 1 + (endpoint.load() - average) / (1 + average) * kept;
  }

  private double weight(EndpointTracker endpoint) {
    double weight = endpoint.entry().weight();
    return settings.endpointWeightsUsed() && weight > 0 ? weight : 1;
  }
}

package edgegateway.policy.routing;

import edgegateway.policy.api.ZoneHealth;
import edgegateway.policy.time.Durations;
import edgegateway.policy.time.EventClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The evidence on the health of each zone that the fleet's decisions on zones go by. */
final class ZoneHealthMonitor {
  /** Endpoints are counted as observed if an attempt ended there in this time. */
  private static final long OBSERVED_WITHIN_NANOS =
      Durations.toNanos(EndpointStatistics.DECAY_TIME_CONSTANT_SECONDS);

  private final EventClock clock;
  private final Map<Integer, ZoneAttempts> attempts = new TreeMap<>();

  ZoneHealthMonitor(EventClock clock) {
    this.clock = clock;
  }

  void attemptEnded(int zone, boolean failed, boolean unanswered) {
    attemptsOf(zone).attemptEnded(failed, unanswered);
  }

  private ZoneAttempts attemptsOf(int zone) {
    return attempts.computeIfAbsent(zone, key -> new ZoneAttempts(clock));
  }

  /** The evidence of each zone with listed endpoints, in the order of the zones' numbers. */
  List<ZoneHealth> report(Iterable<EndpointTracker> endpoints) {
    Map<Integer, List<EndpointTracker>> byZone = new TreeMap<>();
    int allEndpoints = 0;
    for (EndpointTracker endpoint : endpoints) {
      if (endpoint.listed() && endpoint.zone() >= 0) {
        byZone.computeIfAbsent(endpoint.zone(), key -> new ArrayList<>()).add(endpoint);
        allEndpoints++;
      }
    }
    List<ZoneHealth> report = new ArrayList<>();
    for (Map.Entry<Integer, List<EndpointTracker>> zone : byZone.entrySet()) {
      report.add(reportZone(zone.getKey(), zone.getValue(), allEndpoints));
    }
    return report;
  }

  private ZoneHealth reportZone(int zone, List<EndpointTracker> endpoints, int allEndpoints) {
    ZoneAttempts zoneAttempts = attemptsOf(zone);
    zoneAttempts.decay();
    long allOverdue = 0;
    int observed = 0;
    int failing = 0;
    int unresponsive = 0;
    int warming = 0;
    for (EndpointTracker endpoint : endpoints) {
      // What is overdue counts as failed: an outage must not wait for the end of its attempts.
      long overdue = endpoint.overdueCount(zoneAttempts.lastAnswerNanos());
      allOverdue += overdue;
      EndpointStatistics statistics = endpoint.statistics();
      boolean recent = clock.nowNanos() - statistics.lastResultNanos() < OBSERVED_WITHIN_NANOS;
      if (recent || overdue > 0) {
        observed++;
        unresponsive += statistics.lastAttemptUnanswered() || overdue > 0 ? 1 : 0;
        failing += statistics.lastAttemptFailed() || overdue > 0 ? 1 : 0;
      }
      warming += endpoint.slowStart().inProgress() ? 1 : 0;
    }
    return new ZoneHealth(
        zone,
        zoneAttempts.recentAttempts() + allOverdue,
        zoneAttempts.recentFailures() + allOverdue,
        zoneAttempts.failureExcess() + allOverdue,
        endpoints.size(),
        observed,
        failing,
        unresponsive,
        warming,
        endpoints.size() / (double) allEndpoints,
        zoneAttempts.totalAttempts(),
        zoneAttempts.totalFailures(),
        zoneAttempts.lastAnswerNanos());
  }
}

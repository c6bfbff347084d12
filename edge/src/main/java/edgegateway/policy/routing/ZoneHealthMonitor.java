package edgegateway.policy.routing;

import edgegateway.policy.api.ZoneHealth;
import edgegateway.policy.time.Durations;
import edgegateway.policy.time.EventClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Measures the health of each zone, on which the fleet bases its decisions to eject zones. */
final class ZoneHealthMonitor {
  /**
   * An endpoint counts as observed for this long after its last attempt ended, or after its
   * tracking began.
   */
  private static final long OBSERVED_WITHIN_NANOS =
      Durations.toNanos(EndpointStatistics.DECAY_TIME_CONSTANT_SECONDS);

  private final EventClock clock;
  private final Map<Integer, ZoneAttempts> attemptsByZone = new TreeMap<>();

  ZoneHealthMonitor(EventClock clock) {
    this.clock = clock;
  }

  /** Counts an attempt that ended; {@code unanswered} implies {@code failed}. */
  void attemptEnded(int zone, boolean failed, boolean unanswered) {
    attemptsOf(zone).attemptEnded(failed, unanswered);
  }

  private ZoneAttempts attemptsOf(int zone) {
    return attemptsByZone.computeIfAbsent(zone, key -> new ZoneAttempts(clock));
  }

  /** The health of each zone that has listed endpoints, in the order of the zones' indexes. */
  List<ZoneHealth> report(Iterable<EndpointTracker> endpoints) {
    Map<Integer, List<EndpointTracker>> byZone = new TreeMap<>();
    int totalEndpoints = 0;
    for (EndpointTracker endpoint : endpoints) {
      if (endpoint.listed() && endpoint.zone() >= 0) {
        byZone.computeIfAbsent(endpoint.zone(), key -> new ArrayList<>()).add(endpoint);
        totalEndpoints++;
      }
    }
    List<ZoneHealth> report = new ArrayList<>();
    for (Map.Entry<Integer, List<EndpointTracker>> zone : byZone.entrySet()) {
      report.add(reportZone(zone.getKey(), zone.getValue(), totalEndpoints));
    }
    return report;
  }

  private ZoneHealth reportZone(int zone, List<EndpointTracker> endpoints, int totalEndpoints) {
    ZoneAttempts zoneAttempts = attemptsOf(zone);
    zoneAttempts.decay();
    long totalOverdue = 0;
    int observed = 0;
    int failing = 0;
    int unresponsive = 0;
    int inSlowStart = 0;
    for (EndpointTracker endpoint : endpoints) {
      // Overdue attempts count as failed: otherwise an outage would show only when they time out.
      long overdue = endpoint.overdueCount(zoneAttempts.lastAnswerNanos());
      totalOverdue += overdue;
      EndpointStatistics statistics = endpoint.statistics();
      boolean hasRecentResult =
          clock.nowNanos() - statistics.lastResultNanos() < OBSERVED_WITHIN_NANOS;
      if (hasRecentResult || overdue > 0) {
        observed++;
        unresponsive += statistics.lastAttemptUnanswered() || overdue > 0 ? 1 : 0;
        failing += statistics.lastAttemptFailed() || overdue > 0 ? 1 : 0;
      }
      inSlowStart += endpoint.slowStart().inProgress() ? 1 : 0;
    }
    return new ZoneHealth(
        zone,
        zoneAttempts.recentAttempts() + totalOverdue,
        zoneAttempts.recentFailures() + totalOverdue,
        zoneAttempts.failureExcess() + totalOverdue,
        endpoints.size(),
        observed,
        failing,
        unresponsive,
        inSlowStart,
        endpoints.size() / (double) totalEndpoints,
        zoneAttempts.totalAttempts(),
        zoneAttempts.totalFailures(),
        zoneAttempts.lastAnswerNanos());
  }
}

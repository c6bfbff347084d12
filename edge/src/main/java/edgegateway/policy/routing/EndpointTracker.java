package edgegateway.policy.routing;

import edgegateway.policy.api.Endpoint;
import edgegateway.policy.api.EndpointState;
import edgegateway.policy.time.Durations;
import edgegateway.policy.time.EventClock;
import java.util.LinkedHashSet;

/**
 * What this node knows of an endpoint: its entry in the endpoint list, its attempts in flight,
 * their statistics, and the load that it reported. A restarted endpoint gets a new tracker.
 */
public final class EndpointTracker {
  /**
   * An attempt in flight for longer than this multiple of its expected service time is overdue;
   * most attempts end sooner.
   */
  private static final double OVERDUE_SERVICE_TIME_FACTOR = 3;

  private final String id;
  private final EventClock clock;
  private final EndpointStatistics statistics;
  private final SlowStart slowStart;
  private final LinkedHashSet<RoutableRequest> inFlight = new LinkedHashSet<>();
  private Endpoint entry;
  private boolean listed;
  private boolean usable;
  private double load;
  private long loadReportedAtNanos;

  EndpointTracker(
      EventClock clock, Endpoint entry, EndpointStatistics statistics, SlowStart slowStart) {
    id = entry.id();
    this.clock = clock;
    this.entry = entry;
    this.statistics = statistics;
    this.slowStart = slowStart;
    loadReportedAtNanos = clock.startNanos();
  }

  /** The endpoint's id in the endpoint list. */
  public String id() {
    return id;
  }

  /** The endpoint's latest entry in the endpoint list. */
  Endpoint entry() {
    return entry;
  }

  int zone() {
    return entry.zone();
  }

  EndpointStatistics statistics() {
    return statistics;
  }

  SlowStart slowStart() {
    return slowStart;
  }

  /** Whether the endpoint list contains the endpoint. */
  boolean listed() {
    return listed;
  }

  /** Whether the endpoint is listed as ready and no operator has ejected it or its zone. */
  boolean usable() {
    return usable;
  }

  void updateEntry(Endpoint newEntry) {
    entry = newEntry;
    listed = newEntry.state() != EndpointState.REMOVED;
  }

  void setListed(boolean isListed) {
    listed = isListed;
  }

  void setUsable(boolean isUsable) {
    usable = isUsable;
  }

  /** The load that the endpoint last reported; 0 before its first report. */
  double load() {
    return load;
  }

  /** When the last load report came, in nanoseconds; before the first, when the policy started. */
  long loadReportedAtNanos() {
    return loadReportedAtNanos;
  }

  void loadReported(double newLoad) {
    load = newLoad;
    loadReportedAtNanos = clock.nowNanos();
  }

  /** Counts the request's attempt as in flight at this endpoint. */
  void addInFlight(RoutableRequest request) {
    inFlight.add(request);
  }

  /**
   * Counts the request's attempt as no longer in flight.
   *
   * @return whether it was in flight
   */
  boolean removeInFlight(RoutableRequest request) {
    return inFlight.remove(request);
  }

  /** How many attempts are in flight. */
  int inFlightCount() {
    return inFlight.size();
  }

  /** The request whose attempt has been in flight for longest; null if there is none. */
  RoutableRequest oldestInFlight() {
    return inFlight.isEmpty() ? null : inFlight.iterator().next();
  }

  /** How many of the attempts in flight that were sent after {@code sentAfterNanos} are overdue. */
  long overdueCount(long sentAfterNanos) {
    if (inFlight.isEmpty()) {
      return 0;
    }
    long count = 0;
    for (RoutableRequest request : inFlight) {
      double limitNanos =
          OVERDUE_SERVICE_TIME_FACTOR
              * request.expectedServiceSeconds()
              * Durations.NANOS_PER_SECOND;
      long ageNanos = clock.nowNanos() - request.sentAtNanos();
      if (request.sentAtNanos() > sentAfterNanos && ageNanos > limitNanos) {
        count++;
      }
    }
    return count;
  }
}

package edgegateway.policy.routing;

import edgegateway.policy.api.Endpoint;
import edgegateway.policy.api.EndpointState;
import edgegateway.policy.time.Durations;
import edgegateway.policy.time.EventClock;
import java.util.LinkedHashSet;

/** What this node knows of an endpoint: its entry in the list, its attempts and its load. */
public final class EndpointTracker {
  /** An attempt that takes this many expected service times is overdue: most end sooner. */
  private static final double OVERDUE_SERVICE_TIMES = 3;

  private final String id;
  private final EventClock clock;
  private final EndpointStatistics statistics;
  private final SlowStart slowStart;
  private final LinkedHashSet<RoutableRequest> outstanding = new LinkedHashSet<>();
  private Endpoint entry;
  private boolean listed;
  private boolean usable;
  private double load;
  private long loadReportedNanos;

  EndpointTracker(
      EventClock clock, Endpoint entry, EndpointStatistics statistics, SlowStart slowStart) {
    id = entry.id();
    this.clock = clock;
    this.entry = entry;
    this.statistics = statistics;
    this.slowStart = slowStart;
    loadReportedNanos = clock.startNanos();
  }

  /** The endpoint's name in the list. */
  public String id() {
    return id;
  }

  /** The endpoint's last entry in the list. */
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

  /** Whether the list names the endpoint. */
  boolean listed() {
    return listed;
  }

  /** Whether the list has it ready and no operator has ejected it or its zone. */
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

  /** The load by the last report. */
  double load() {
    return load;
  }

  /** When the last report came, or the policy began, in nanoseconds. */
  long loadReportedNanos() {
    return loadReportedNanos;
  }

  void loadReported(double newLoad) {
    load = newLoad;
    loadReportedNanos = clock.nowNanos();
  }

  /** Counts an attempt as in progress at this endpoint. */
  void add(RoutableRequest request) {
    outstanding.add(request);
  }

  /**
   * Counts an attempt as in progress no longer.
   *
   * @return whether it was
   */
  boolean remove(RoutableRequest request) {
    return outstanding.remove(request);
  }

  /** How many attempts are in progress. */
  int outstanding() {
    return outstanding.size();
  }

  /** The attempt that has been in progress for longest; null if there is none. */
  RoutableRequest oldestOutstanding() {
    return outstanding.isEmpty() ? null : outstanding.iterator().next();
  }

  /** How many attempts sent since a moment (in nanoseconds) are overdue. */
  long overdue(long sinceNanos) {
    if (outstanding.isEmpty()) {
      return 0;
    }
    long count = 0;
    for (RoutableRequest request : outstanding) {
      double limitNanos =
          OVERDUE_SERVICE_TIMES * request.expectedServiceSeconds() * Durations.NANOS_PER_SECOND;
      long ageNanos = clock.nowNanos() - request.sentAtNanos();
      if (request.sentAtNanos() > sinceNanos && ageNanos > limitNanos) {
        count++;
      }
    }
    return count;
  }
}

package edgegateway.policy.quota;

import edgegateway.policy.api.CounterSettings;
import edgegateway.policy.api.QuotaPlan;
import edgegateway.policy.api.QuotaUsage;
import edgegateway.policy.time.Durations;
import edgegateway.policy.time.EventClock;

/**
 * A customer's token bucket over all nodes as one node estimates it: from local usage, from the
 * totals that the counter tells, and between them from the predicted remote usage.
 */
final class UsageEstimate {
  /** The memory of the average rate of remote usage. */
  private static final double REMOTE_RATE_MEMORY_SECONDS = 3;

  private static final double MIN_RATE_INTERVAL_SECONDS = 0.05;

  /** A total this far below local usage shows that counts were lost; above it is rounding. */
  private static final double ROUNDING_UNITS = 1e-3;

  private final EventClock clock;
  private final QuotaPlan plan;
  private final CounterSettings counter;
  private final CountingWindows windows;
  private long window = Long.MIN_VALUE;
  private double localUsage;
  private double remoteUsage;
  private double tokens;
  private double remoteUnitsPerSecond;
  private double predictedRemoteUsage;
  private long lastUpdateNanos;

  UsageEstimate(
      EventClock clock, QuotaPlan plan, CounterSettings counter, CountingWindows windows) {
    this.clock = clock;
    this.plan = plan;
    this.counter = counter;
    this.windows = windows;
    tokens = plan.burstUnits();
    lastUpdateNanos = clock.nowNanos() - 2 * windows.lengthNanos();
  }

  /** Estimated tokens in the bucket, in units; negative after usage over the quota. */
  double tokens() {
    return tokens;
  }

  /** The number of the counting window that local and remote usage are of. */
  long window() {
    return window;
  }

  /** Units used here in the present window and counted. */
  double localUsage() {
    return localUsage;
  }

  /** Units used by other nodes in the present window, by the last total. */
  double remoteUsage() {
    return remoteUsage;
  }

  /** The average rate of remote usage, in units a second. */
  double remoteUnitsPerSecond() {
    return remoteUnitsPerSecond;
  }

  /** Remote usage since the last total as predicted, in units. */
  double predictedRemoteUsage() {
    return predictedRemoteUsage;
  }

  /** When the counter last reported a total. */
  long lastUpdateNanos() {
    return lastUpdateNanos;
  }

  /** Whether the last total is older than a counting window: the estimate can't be relied on. */
  boolean isStale() {
    return clock.nowNanos() - lastUpdateNanos > windows.lengthNanos();
  }

  /** Adds what the bucket gains in a span, less what remote nodes are predicted to use. */
  void refill(double seconds) {
    double predicted = seconds * Math.min(plan.unitsPerSecond(), remoteUnitsPerSecond);
    predictedRemoteUsage += predicted;
    tokens = Math.min(plan.burstUnits(), tokens + seconds * plan.unitsPerSecond() - predicted);
  }

  /** Takes units that are used here; a negative number gives them back. */
  void consume(double units) {
    tokens -= units;
  }

  /** Goes to the counting window of this moment and returns its number. */
  long enterPresentWindow() {
    long index = windows.indexAt(clock.nowNanos());
    if (window != index) {
      localUsage = 0;
      remoteUsage = 0;
    }
    window = index;
    return index;
  }

  /** Notes that a call has added units to a window's count, or may have. */
  void addLocalUsage(long ofWindow, double units) {
    if (ofWindow == window) {
      localUsage += units;
    }
  }

  /**
   * Corrects the estimate by a total from the counter.
   *
   * @param reportedUnits the units that the reporting call had added
   * @param total the units of all nodes in the present window
   * @param unreportedUnits units used here that no call has reported yet
   */
  void applyTotal(double reportedUnits, double total, double unreportedUnits) {
    double remoteTotal = total - localUsage;
    boolean countsLost =
        remoteTotal < -ROUNDING_UNITS || remoteTotal < remoteUsage - plan.burstUnits() / 2;
    if (countsLost) {
      // The count began anew: what is there now is new since, and tells of the others what it can.
      localUsage = reportedUnits;
      remoteUsage = 0;
      remoteTotal = Math.max(0, total - reportedUnits);
    }
    if (isStale()) {
      // A full bucket less this window's total tells more than an estimate this old.
      tokens = plan.burstUnits() - localUsage - unreportedUnits;
      predictedRemoteUsage = 0;
    }
    double newRemoteUsage = remoteTotal - remoteUsage;
    remoteUsage = remoteTotal;
    updateRemoteRate(newRemoteUsage);
    // Over-quota usage took nothing from the bucket: it can't be far below zero.
    double corrected = Math.min(plan.burstUnits(), tokens - newRemoteUsage + predictedRemoteUsage);
    tokens = Math.max(corrected, -counter.maxRequestUnits());
    predictedRemoteUsage = 0;
  }

  private void updateRemoteRate(double newRemoteUsage) {
    long sinceNanos = Math.max(lastUpdateNanos, windows.startNanos(window));
    long nowNanos = clock.nowNanos();
    double seconds =
        Math.max(MIN_RATE_INTERVAL_SECONDS, (nowNanos - sinceNanos) * Durations.SECONDS_PER_NANO);
    lastUpdateNanos = nowNanos;
    double rate = Math.max(0, Math.min(newRemoteUsage / seconds, 2 * plan.unitsPerSecond()));
    double weight = 1 - Math.exp(-seconds / REMOTE_RATE_MEMORY_SECONDS);
    remoteUnitsPerSecond += weight * (rate - remoteUnitsPerSecond);
  }

  /**
   * Goes on from the estimate of the process that this one replaces.
   *
   * @param unreportedUnits units used here so far that no call has reported
   */
  void importFrom(QuotaUsage usage, double unreportedUnits) {
    // Some requests may have come already: they were taken from a bucket that was thought full.
    tokens = usage.tokens() - unreportedUnits - localUsage;
    if (usage.window() >= window) {
      boolean later = usage.window() > window;
      localUsage = later ? usage.localUsage() : localUsage + usage.localUsage();
      remoteUsage = usage.remoteUsage();
      window = usage.window();
    }
    remoteUnitsPerSecond = usage.remoteUnitsPerSecond();
    predictedRemoteUsage = usage.predictedRemoteUsage();
    lastUpdateNanos = Math.max(lastUpdateNanos, usage.lastUpdateNanos());
  }
}

package edgegateway.policy.quota;

import edgegateway.policy.api.CounterSettings;
import edgegateway.policy.api.QuotaPlan;
import edgegateway.policy.api.QuotaUsage;
import edgegateway.policy.time.Durations;
import edgegateway.policy.time.EventClock;

/**
 * One node's estimate of a customer's token bucket over all nodes. It is based on local usage, on
 * the totals from the counter and, between two totals, on predicted remote usage.
 */
final class UsageEstimate {
  /** The time constant of the moving average of the rate of remote usage. */
  private static final double REMOTE_RATE_TIME_CONSTANT_SECONDS = 3;

  /** Rates are computed over no shorter interval than this. */
  private static final double MIN_RATE_INTERVAL_SECONDS = 0.05;

  /**
   * A total that is below local usage by more than this shows that the counter lost counts; a
   * smaller difference is due to rounding.
   */
  private static final double ROUNDING_TOLERANCE_UNITS = 1e-3;

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
    // No total has been received yet, so the estimate starts as stale.
    lastUpdateNanos = clock.nowNanos() - 2 * windows.lengthNanos();
  }

  /** Estimated tokens in the bucket, in units; negative after usage over the quota. */
  double tokens() {
    return tokens;
  }

  /** The number of the counting window that local and remote usage belong to. */
  long window() {
    return window;
  }

  /** Units used by this node in the window and reported to the counter. */
  double localUsage() {
    return localUsage;
  }

  /** Units used by other nodes in the window, as of the last total. */
  double remoteUsage() {
    return remoteUsage;
  }

  /** The average rate of remote usage, in units per second. */
  double remoteUnitsPerSecond() {
    return remoteUnitsPerSecond;
  }

  /** Predicted remote usage since the last total, in units. */
  double predictedRemoteUsage() {
    return predictedRemoteUsage;
  }

  /** When the counter last returned a total. */
  long lastUpdateNanos() {
    return lastUpdateNanos;
  }

  /** Whether the last total is older than a counting window, so that the estimate is unreliable. */
  boolean isStale() {
    return clock.nowNanos() - lastUpdateNanos > windows.lengthNanos();
  }

  /** Adds what the bucket gained in an interval, less the predicted remote usage. */
  void refill(double seconds) {
    double predicted = seconds * Math.min(plan.unitsPerSecond(), remoteUnitsPerSecond);
    predictedRemoteUsage += predicted;
    tokens = Math.min(plan.burstUnits(), tokens + seconds * plan.unitsPerSecond() - predicted);
  }

  /** Removes units that are used here; a negative number gives units back. */
  void consume(double units) {
    tokens -= units;
  }

  /** Switches to the current counting window and returns its number. */
  long enterCurrentWindow() {
    long currentWindow = windows.windowAt(clock.nowNanos());
    if (window != currentWindow) {
      localUsage = 0;
      remoteUsage = 0;
    }
    window = currentWindow;
    return currentWindow;
  }

  /** Records that a call has added, or may have added, units to a window's counter. */
  void addLocalUsage(long callWindow, double units) {
    if (callWindow == window) {
      localUsage += units;
    }
  }

  /**
   * Corrects the estimate by a total from the counter.
   *
   * @param reportedUnits the units that the call with this total added
   * @param total the units of all nodes in the current window
   * @param unreportedUnits units used here that no call has reported yet
   */
  void applyTotal(double reportedUnits, double total, double unreportedUnits) {
    double remoteTotal = total - localUsage;
    boolean countsLost =
        remoteTotal < -ROUNDING_TOLERANCE_UNITS
            || remoteTotal < remoteUsage - plan.burstUnits() / 2;
    if (countsLost) {
      // The counter lost its counts and started from zero: of what was added since then, all but
      // the units of this call counts as remote usage.
      localUsage = reportedUnits;
      remoteUsage = 0;
      remoteTotal = Math.max(0, total - reportedUnits);
    }
    if (isStale()) {
      // A full bucket less the total of this window is more accurate than an estimate this old.
      tokens = plan.burstUnits() - localUsage - unreportedUnits;
      predictedRemoteUsage = 0;
    }
    double newRemoteUsage = remoteTotal - remoteUsage;
    remoteUsage = remoteTotal;
    updateRemoteRate(newRemoteUsage);
    // Over-quota requests take nothing from the bucket, so it cannot be far below zero.
    double corrected = Math.min(plan.burstUnits(), tokens - newRemoteUsage + predictedRemoteUsage);
    tokens = Math.max(corrected, -counter.maxRequestUnits());
    predictedRemoteUsage = 0;
  }

  /**
   * Updates the average rate of remote usage.
   *
   * @param newRemoteUsage remote usage since the last total, in units
   */
  private void updateRemoteRate(double newRemoteUsage) {
    long sinceNanos = Math.max(lastUpdateNanos, windows.startNanos(window));
    long nowNanos = clock.nowNanos();
    double seconds =
        Math.max(MIN_RATE_INTERVAL_SECONDS, (nowNanos - sinceNanos) * Durations.SECONDS_PER_NANO);
    lastUpdateNanos = nowNanos;
    double rate = Math.max(0, Math.min(newRemoteUsage / seconds, 2 * plan.unitsPerSecond()));
    double weight = 1 - Math.exp(-seconds / REMOTE_RATE_TIME_CONSTANT_SECONDS);
    remoteUnitsPerSecond += weight * (rate - remoteUnitsPerSecond);
  }

  /**
   * Continues from the estimate of the process that this one replaces.
   *
   * @param usage the state of that process
   * @param unreportedUnits units used in this process that no call has reported yet
   */
  void importFrom(QuotaUsage usage, double unreportedUnits) {
    // Requests that arrived before this import were charged to a bucket that was assumed full;
    // charge them to the imported tokens.
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

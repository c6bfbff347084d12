package edgegateway.policy.quota;

import edgegateway.policy.api.QuotaPlan;
import edgegateway.policy.time.Durations;
import java.util.SplittableRandom;

/**
 * The counting windows of one customer at the shared counter. Within limits, a window lasts as long
 * as the plan's rate takes to refill one burst. A customer with steady traffic is then granted one
 * burst per window, so the total of one window is enough for a node without earlier data of the
 * customer. Windows of different customers start at different times.
 */
final class CountingWindows {
  private static final double MIN_LENGTH_SECONDS = 1;
  private static final double MAX_LENGTH_SECONDS = 30;

  private final long customer;
  private final long lengthNanos;
  private final long phaseNanos;

  CountingWindows(long customer, QuotaPlan plan) {
    this.customer = customer;
    double unitsPerSecond = plan.unitsPerSecond();
    double refillSeconds =
        unitsPerSecond > 0 ? plan.burstUnits() / unitsPerSecond : MIN_LENGTH_SECONDS;
    double seconds = Math.min(MAX_LENGTH_SECONDS, Math.max(MIN_LENGTH_SECONDS, refillSeconds));
    lengthNanos = (long) (seconds * Durations.NANOS_PER_SECOND);
    phaseNanos = Math.floorMod(hash(customer), lengthNanos);
  }

  /** The length of each window. */
  long lengthNanos() {
    return lengthNanos;
  }

  /** Returns the number of the window that contains a point in time. */
  long windowAt(long nanos) {
    return Math.floorDiv(nanos + phaseNanos, lengthNanos);
  }

  /** Returns the time at which a window starts. */
  long startNanos(long window) {
    return window * lengthNanos - phaseNanos;
  }

  /** Returns the key of a window's counter, the same on every node; 0 or more. */
  long counterKey(long window) {
    return hash(hash(customer) + window) >>> 1;
  }

  /** Maps neighboring numbers to numbers spread over all long values. */
  private static long hash(long value) {
    return new SplittableRandom(value).nextLong();
  }
}

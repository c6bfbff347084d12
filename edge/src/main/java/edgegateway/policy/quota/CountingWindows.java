package edgegateway.policy.quota;

import edgegateway.policy.api.QuotaPlan;
import edgegateway.policy.time.Durations;
import java.util.SplittableRandom;

/**
 * The counting windows of one customer at the shared counter. In a window a steady customer is
 * granted just one burst, so that the total of one window tells enough to a node that has never
 * heard of it. Windows of different customers begin at different moments.
 */
final class CountingWindows {
  private static final double MIN_SECONDS = 1;
  private static final double MAX_SECONDS = 30;

  private final long customer;
  private final long lengthNanos;
  private final long phaseNanos;

  CountingWindows(long customer, QuotaPlan plan) {
    this.customer = customer;
    double unitsPerSecond = plan.unitsPerSecond();
    double refillSeconds = unitsPerSecond > 0 ? plan.burstUnits() / unitsPerSecond : MIN_SECONDS;
    double seconds = Math.min(MAX_SECONDS, Math.max(MIN_SECONDS, refillSeconds));
    lengthNanos = (long) (seconds * Durations.NANOS_PER_SECOND);
    phaseNanos = Math.floorMod(mix(customer), lengthNanos);
  }

  long lengthNanos() {
    return lengthNanos;
  }

  /** The number of the window that a moment lies in. */
  long indexAt(long nanos) {
    return Math.floorDiv(nanos + phaseNanos, lengthNanos);
  }

  /** The moment at which a window begins. */
  long startNanos(long index) {
    return index * lengthNanos - phaseNanos;
  }

  /** The name of a window's count at the shared counter, the same on every node. */
  long counterName(long index) {
    return mix(mix(customer) + index) >>> 1;
  }

  /** Spreads numbers that lie close together over all long values. */
  private static long mix(long value) {
    return new SplittableRandom(value).nextLong();
  }
}

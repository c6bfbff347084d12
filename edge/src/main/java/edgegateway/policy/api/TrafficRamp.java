package edgegateway.policy.api;

/**
 * A linear change of a zone's traffic, as a fraction of what it would get otherwise.
 *
 * @param startFraction fraction at the start, 0 to 1
 * @param endFraction fraction from the end on, 0 to 1
 * @param startNanos when the change starts
 * @param durationNanos how long it takes, in nanoseconds, at least 1
 */
public record TrafficRamp(
    double startFraction, double endFraction, long startNanos, long durationNanos) {
  /**
   * The fraction at a time.
   *
   * @param nowNanos not before {@link #startNanos}
   */
  public double fractionAt(long nowNanos) {
    return startFraction
        + (endFraction - startFraction)
            * Math.min(1, (nowNanos - startNanos + 1) / (double) durationNanos);
  }
}

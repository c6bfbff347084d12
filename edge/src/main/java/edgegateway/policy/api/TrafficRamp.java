package edgegateway.policy.api;

/**
 * A linear change of a zone's traffic, as a fraction of its usual traffic.
 *
 * @param startFraction fraction at the start, 0 to 1
 * @param endFraction fraction at and after the end, 0 to 1
 * @param startNanos start of the change, in nanoseconds of the policy's clock
 * @param durationNanos duration of the change in nanoseconds, at least 1
 */
public record TrafficRamp(
    double startFraction, double endFraction, long startNanos, long durationNanos) {
  /**
   * Returns the fraction of its usual traffic that the zone gets at a time. With a duration of 1 ns
   * this is the end fraction from the start on.
   *
   * @param nowNanos time in nanoseconds, not before {@link #startNanos}
   */
  public double fractionAt(long nowNanos) {
    return startFraction
        + (endFraction - startFraction)
            * Math.min(1, (nowNanos - startNanos + 1) / (double) durationNanos);
  }
}

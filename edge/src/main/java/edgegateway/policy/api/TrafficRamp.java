package edgegateway.policy.api;

/**
 * How a zone's part of the work changes, evenly.
 *
 * @param startFraction the part at {@code since}, 0 to 1
 * @param endFraction the part from the end of {@code span} on, 0 to 1
 */
public record TrafficRamp(
    double startFraction, double endFraction, long startNanos, long durationNanos) {
  /** The part at a moment that is not before its begin. */
  public double fractionAt(long now) {
    return startFraction
        + (endFraction - startFraction)
            * Math.min(1, (now - startNanos + 1) / (double) durationNanos);
  }
}

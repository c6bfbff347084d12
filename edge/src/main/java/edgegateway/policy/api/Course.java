package edgegateway.policy.api;

/**
 * How a zone's part of the work changes, evenly.
 *
 * @param from the part at {@code since}, 0 to 1
 * @param to the part from the end of {@code span} on, 0 to 1
 */
public record Course(double from, double to, long since, long span) {
  /** The part at a moment that is not before its begin. */
  public double share(long now) {
    return from + (to - from) * Math.min(1, (now - since + 1) / (double) span);
  }
}

package edgegateway.policy.control;

import java.util.Arrays;

/**
 * Normalizes the shares of the request classes in the fair queue: they sum to 1, and a minimum
 * share prevents the starvation of any class.
 */
public final class Shares {
  /** Minimum share of a class, before the shares are scaled to a sum of 1. */
  public static final double MIN_SHARE = 0.02;

  private Shares() {}

  /**
   * Clamps each share to the range from {@link #MIN_SHARE} to 1 and scales all to a sum of 1. A
   * share that is not finite becomes {@link #MIN_SHARE} before the scaling.
   *
   * @return a new array
   */
  static double[] normalize(double... shares) {
    double[] clamped = Arrays.stream(shares).map(Shares::clamp).toArray();
    double sum = Arrays.stream(clamped).sum();
    return Arrays.stream(clamped).map(share -> share / sum).toArray();
  }

  private static double clamp(double share) {
    return Double.isFinite(share) ? Math.max(MIN_SHARE, Math.min(1, share)) : MIN_SHARE;
  }
}

package edgegateway.policy.control;

import java.util.Arrays;

/** Rules for the shares of the request classes in the fair queue: all sum to 1, none starves. */
public final class Shares {
  /** No class is given less than this before the shares are scaled to a sum of 1. */
  public static final double MIN_SHARE = 0.02;

  private Shares() {}

  /**
   * Clips each share to {@link #MIN_SHARE} .. 1 and scales all to a sum of 1. One that is not
   * finite becomes {@link #MIN_SHARE}.
   *
   * @return a new array
   */
  static double[] normalize(double... shares) {
    double[] clipped = Arrays.stream(shares).map(Shares::clip).toArray();
    double sum = Arrays.stream(clipped).sum();
    return Arrays.stream(clipped).map(share -> share / sum).toArray();
  }

  private static double clip(double share) {
    return Double.isFinite(share) ? Math.max(MIN_SHARE, Math.min(1, share)) : MIN_SHARE;
  }
}

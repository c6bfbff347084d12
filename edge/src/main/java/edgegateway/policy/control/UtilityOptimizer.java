package edgegateway.policy.control;

import java.util.Arrays;
import java.util.List;
import org.ejml.simple.SimpleMatrix;

/**
 * The greedy optimizer of the Proteus paper (figure 4) for one node. It allocates the shares in
 * small steps, each to the class with the largest gain in utility per share. The outputs that the
 * model predicts for the resulting shares are the references of {@link ShareController}.
 */
final class UtilityOptimizer {
  /** Tolerance for rounding errors in the sum of the steps. */
  private static final double SHARE_SUM_TOLERANCE = 1e-9;

  private final List<ClassIntervalStatistics> classes;

  /**
   * Creates an optimizer.
   *
   * @param classes the statistics of all classes, in the order of the model's inputs
   */
  UtilityOptimizer(List<ClassIntervalStatistics> classes) {
    this.classes = classes;
  }

  /**
   * Returns the outputs that the model predicts for the allocated shares.
   *
   * @param model the inputs are the shares; the outputs are the normalized throughput of each
   *     class, followed by the normalized inverse latency of each class
   * @param throughputScale requests per interval at a normalized throughput of 1
   * @return a column of references, one row per output of the model
   */
  SimpleMatrix references(LinearModel model, double throughputScale) {
    Allocation allocation = new Allocation(model, throughputScale);
    while (!allocation.isComplete()) {
      allocation.apply(allocation.bestGrant());
    }
    return model.predict(Shares.normalize(allocation.shares));
  }

  /**
   * The utility of a class, which is the value that it earns per interval: {@code value · served ·
   * (late + (1 - late) · (1 - exp(-objective / latency)))}. Here {@code late} is the fraction of
   * the value that a late answer earns, {@code 1 - exp(-objective / latency)} estimates the
   * fraction of answers that are on time, and {@code served} is at most the number of requests that
   * arrived.
   */
  private double utility(int classIndex, SimpleMatrix outputs, double throughputScale) {
    ClassIntervalStatistics statistics = classes.get(classIndex);
    double throughput = Math.max(0, outputs.get(classIndex));
    double inverseLatency = Math.max(0, outputs.get(classes.size() + classIndex));
    double served = Math.min(throughput * throughputScale, statistics.arrivals());
    double lateValueFraction = statistics.requestClass().lateValueFraction();
    double onTimeFraction =
        1 - Math.exp(-ClassIntervalStatistics.INVERSE_LATENCY_SCALE * inverseLatency);
    double earnedFraction = lateValueFraction + (1 - lateValueFraction) * onTimeFraction;
    return statistics.valuePerRequest() * served * earnedFraction;
  }

  /** An addition to the share of a class, and the utility that it gains per share. */
  private record Grant(int classIndex, double addedShare, double gainPerShare) {}

  /** The shares granted so far. */
  private final class Allocation {
    private final LinearModel model;
    private final double throughputScale;

    /** Share of a single request per interval, or the minimum share if that is larger. */
    private final double step;

    private final double[] shares = new double[classes.size()];

    /** Utility of each class with its share so far; negative infinity before its first grant. */
    private final double[] utilities = new double[classes.size()];

    /** Sum of the shares granted so far. */
    private double grantedSum;

    Allocation(LinearModel model, double throughputScale) {
      this.model = model;
      this.throughputScale = throughputScale;
      step = Math.max(Shares.MIN_SHARE, 1 / Math.max(1, throughputScale));
      Arrays.fill(utilities, Double.NEGATIVE_INFINITY);
    }

    boolean isComplete() {
      return grantedSum >= 1 - SHARE_SUM_TOLERANCE;
    }

    /** The grant with the highest gain per share; among equal gains, that of the first class. */
    Grant bestGrant() {
      Grant best = new Grant(0, step, Double.NEGATIVE_INFINITY);
      for (int classIndex = 0; classIndex < shares.length; classIndex++) {
        Grant grant = smallestUsefulGrant(classIndex);
        best = grant.gainPerShare > best.gainPerShare ? grant : best;
      }
      return best;
    }

    /**
     * The grant of the fewest steps that raise the utility of a class, or of one step if the rest
     * of the shares is too small to raise it.
     */
    private Grant smallestUsefulGrant(int classIndex) {
      double currentUtility = utilities[classIndex];
      double addedShare = step;
      while (utilityAfter(classIndex, addedShare) <= currentUtility
          && grantedSum + addedShare <= 1) {
        addedShare += step;
      }
      addedShare = grantedSum + addedShare > 1 ? step : addedShare;
      double gainPerShare =
          (utilityAfter(classIndex, addedShare) - Math.max(0, currentUtility)) / addedShare;
      return new Grant(classIndex, addedShare, gainPerShare);
    }

    void apply(Grant grant) {
      shares[grant.classIndex] += grant.addedShare;
      grantedSum += grant.addedShare;
      utilities[grant.classIndex] = utilityAfter(grant.classIndex, 0);
    }

    /** The utility of a class if its share is raised by {@code addedShare}. */
    private double utilityAfter(int classIndex, double addedShare) {
      double[] candidate = shares.clone();
      candidate[classIndex] += addedShare;
      return utility(classIndex, model.predict(candidate), throughputScale);
    }
  }
}

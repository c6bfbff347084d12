package edgegateway.policy.control;

import java.util.Arrays;
import java.util.List;
import org.ejml.simple.SimpleMatrix;

/**
 * The greedy optimizer of the Proteus paper (figure 4) for one node: hands out the shares step by
 * step to the class whose utility gains most by it. The outputs that the model predicts for these
 * shares are the references of the share controller.
 */
final class UtilityOptimizer {
  /** Tolerance of the sum of the steps, which are no exact fractions. */
  private static final double SHARE_SUM_TOLERANCE = 1e-9;

  private final List<ClassIntervalStatistics> classes;

  /** An optimizer for the given classes, in the order of the model's inputs. */
  UtilityOptimizer(List<ClassIntervalStatistics> classes) {
    this.classes = classes;
  }

  /**
   * Outputs that the model predicts for the shares of the highest utility.
   *
   * @param model from the shares to the normalized throughput of each class, followed by the
   *     normalized inverse latency of each
   * @param throughputScale requests per interval at a normalized throughput of 1
   * @return a column of references, one row per output of the model
   */
  SimpleMatrix references(LinearModel model, double throughputScale) {
    Allocation allocation = new Allocation(model, throughputScale);
    while (!allocation.isComplete()) {
      allocation.add(allocation.bestGrant());
    }
    return model.predict(Shares.normalize(allocation.shares));
  }

  /**
   * Value that a class earns per interval: {@code value · served · (late + (1 - late) · (1 -
   * exp(-objective / latency)))}, where late answers earn the fraction {@code late} of the value
   * and no more can be served than arrived.
   */
  private double utility(int classIndex, SimpleMatrix outputs, double throughputScale) {
    ClassIntervalStatistics statistics = classes.get(classIndex);
    double throughput = Math.max(0, outputs.get(classIndex));
    double inverseLatency = Math.max(0, outputs.get(classes.size() + classIndex));
    double served = Math.min(throughput * throughputScale, statistics.arrivals());
    double late = statistics.requestClass().lateValueFraction();
    double onTime = 1 - Math.exp(-ClassIntervalStatistics.INVERSE_LATENCY_SCALE * inverseLatency);
    double earnedFraction = late + (1 - late) * onTime;
    return statistics.valuePerRequest() * served * earnedFraction;
  }

  /** A share that a class would be given more, and the utility that this gains per share. */
  private record Grant(int classIndex, double share, double gain) {}

  /** The shares handed out so far. */
  private final class Allocation {
    private final LinearModel model;
    private final double throughputScale;
    private final double step;
    private final double[] shares = new double[classes.size()];

    /** Utility of each class at its share; negative infinity before its first grant. */
    private final double[] utilities = new double[classes.size()];

    private double granted;

    Allocation(LinearModel model, double throughputScale) {
      this.model = model;
      this.throughputScale = throughputScale;
      step = Math.max(Shares.MIN_SHARE, 1 / Math.max(1, throughputScale));
      Arrays.fill(utilities, Double.NEGATIVE_INFINITY);
    }

    boolean isComplete() {
      return granted >= 1 - SHARE_SUM_TOLERANCE;
    }

    /** The grant of the highest gain; of equal ones that of the first class. */
    Grant bestGrant() {
      Grant best = new Grant(0, step, Double.NEGATIVE_INFINITY);
      for (int classIndex = 0; classIndex < shares.length; classIndex++) {
        Grant grant = smallestUsefulGrant(classIndex);
        best = grant.gain > best.gain ? grant : best;
      }
      return best;
    }

    /** The fewest steps that raise the utility of a class; one step if none within the rest do. */
    private Grant smallestUsefulGrant(int classIndex) {
      double present = utilities[classIndex];
      double share = step;
      while (utilityAfter(classIndex, share) <= present && granted + share <= 1) {
        share += step;
      }
      share = granted + share > 1 ? step : share;
      double gain = (utilityAfter(classIndex, share) - Math.max(0, present)) / share;
      return new Grant(classIndex, share, gain);
    }

    void add(Grant grant) {
      shares[grant.classIndex] += grant.share;
      granted += grant.share;
      utilities[grant.classIndex] = utilityAfter(grant.classIndex, 0);
    }

    private double utilityAfter(int classIndex, double addedShare) {
      double[] tried = shares.clone();
      tried[classIndex] += addedShare;
      return utility(classIndex, model.predict(tried), throughputScale);
    }
  }
}

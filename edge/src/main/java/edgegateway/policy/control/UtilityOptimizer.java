package edgegateway.policy.control;

import java.util.Arrays;
import java.util.List;
import org.ejml.simple.SimpleMatrix;

/**
 * The greedy optimizer of the Proteus paper (figure 4) for one node: it hands out the shares step
 * by step to the class whose utility grows most, and yields the outputs that the model predicts
 * there as references of the share controller.
 */
final class UtilityOptimizer {
  /** Below this rest, rounding aside, all is handed out. */
  private static final double ROUNDING = 1e-9;

  private final List<ClassIntervalStatistics> classes;

  /** An optimizer for the given classes, in the order of the model's inputs. */
  UtilityOptimizer(List<ClassIntervalStatistics> classes) {
    this.classes = classes;
  }

  private record Grant(int classIndex, double share, double gain) {}

  /**
   * Outputs that the model predicts at the shares of the highest utility.
   *
   * @param model from shares to the normalized throughput of each class, followed by the normalized
   *     inverse latency of each
   * @param throughputScale requests per interval at a normalized throughput of 1
   * @return a column of references, one row per output of the model
   */
  SimpleMatrix references(LinearModel model, double throughputScale) {
    return model.predict(Shares.normalize(bestShares(model, throughputScale)));
  }

  private double[] bestShares(LinearModel model, double throughputScale) {
    double[] shares = new double[classes.size()];
    double[] utilities = new double[classes.size()];
    Arrays.fill(utilities, Double.NEGATIVE_INFINITY);
    double step = Math.max(Shares.MIN_SHARE, 1 / Math.max(1, throughputScale));
    double granted = 0;
    while (granted < 1 - ROUNDING) {
      Grant best = new Grant(0, step, Double.NEGATIVE_INFINITY);
      for (int index = 0; index < shares.length; index++) {
        Utility utility = utilityOf(index, shares, model, throughputScale);
        Grant grant = smallestUsefulGrant(index, utility, utilities[index], step, granted);
        best = grant.gain > best.gain ? grant : best;
      }
      shares[best.classIndex] += best.share;
      granted += best.share;
      Utility utility = utilityOf(best.classIndex, shares, model, throughputScale);
      utilities[best.classIndex] = utility.withExtraShare(0);
    }
    return shares;
  }

  /** The fewest steps that raise the utility of a class, or one step if none within the rest do. */
  private static Grant smallestUsefulGrant(
      int index, Utility utility, double present, double step, double granted) {
    double share = step;
    while (utility.withExtraShare(share) <= present && granted + share <= 1) {
      share += step;
    }
    share = granted + share > 1 ? step : share;
    double gain = (utility.withExtraShare(share) - Math.max(0, present)) / share;
    return new Grant(index, share, gain);
  }

  /** Value earned per interval by one class when it is given some share more. */
  private interface Utility {
    double withExtraShare(double share);
  }

  private Utility utilityOf(int index, double[] shares, LinearModel model, double throughputScale) {
    return extra -> {
      double[] tried = shares.clone();
      tried[index] += extra;
      return utility(index, model.predict(tried), throughputScale);
    };
  }

  /**
   * {@code value · served · (late + (1 - late) (1 - exp(-objective / latency)))}: late answers earn
   * their fraction of the value, and at most what arrived can be served.
   */
  private double utility(int index, SimpleMatrix outputs, double throughputScale) {
    ClassIntervalStatistics statistics = classes.get(index);
    double throughput = Math.max(0, outputs.get(index));
    double inverseLatency = Math.max(0, outputs.get(classes.size() + index));
    double served = Math.min(throughput * throughputScale, statistics.arrivals());
    double late = statistics.requestClass().lateValueFraction();
    double onTime = 1 - Math.exp(-ClassIntervalStatistics.INVERSE_LATENCY_SCALE * inverseLatency);
    double earnedFraction = late + (1 - late) * onTime;
    return statistics.valuePerRequest() * served * earnedFraction;
  }
}

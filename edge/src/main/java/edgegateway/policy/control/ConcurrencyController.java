package edgegateway.policy.control;

import java.util.Comparator;
import java.util.List;
import org.ejml.simple.SimpleMatrix;

/**
 * The limit on concurrent attempts of this node. Its maximum is the node's part of what the
 * endpoints may be sent at once; below that, it moves once an interval so that the slow answers of
 * the class with the tightest latency objective come within that objective.
 */
public final class ConcurrencyController {
  /** Operators' limit: concurrent attempts per endpoint, over all nodes. */
  private static final double ATTEMPTS_PER_ENDPOINT = 6;

  /** Least limit, least fraction of the maximum, and least number of endpoints reckoned with. */
  private static final double MIN_LIMIT = 0.25;

  /** Penalty on a change of the limit; larger than that of the shares, as this loop is slower. */
  private static final double ACTUATION_PENALTY = 0.7;

  private static final double SLOW_QUANTILE = 0.9;

  /** Part of the latency objective that the wait in the queue never takes from the service. */
  private static final double MIN_SERVICE_FRACTION = 0.25;

  /** Updates before the fitted slope is used. */
  private static final int MIN_UPDATES = 3;

  private final List<ClassIntervalStatistics> classes;
  private final int nodeCount;

  /** From the last change of inverse latency and the change of the limit to that of the latency. */
  private final RecursiveLeastSquares estimator = new RecursiveLeastSquares(1, 2);

  private double effectiveEndpoints = 1;
  private double maximum = 1;
  private double limit = 1;
  private boolean limitReached;
  private double previousInverseLatency;
  private double previousInverseChange;
  private double previousFraction;

  /**
   * A controller for a node of {@code nodeCount}; it reads the statistics and never resets them.
   */
  public ConcurrencyController(List<ClassIntervalStatistics> classes, int nodeCount) {
    this.classes = List.copyOf(classes);
    this.nodeCount = nodeCount;
  }

  /**
   * Concurrent attempts that this node may have now, above 0; below 1 it must pause between two.
   */
  public double limit() {
    return limit;
  }

  /** Usable endpoints, each in slow start counted by its factor; at least 0.25. */
  public double effectiveEndpoints() {
    return effectiveEndpoints;
  }

  /** The limit kept a request waiting in this interval, or might have. */
  public void markLimitReached() {
    limitReached = true;
  }

  /**
   * The endpoints or their slow start changed. What an endpoint in slow start cannot do yet waits
   * in this node's queue, where priority weights decide, and not in the endpoint's own.
   *
   * @param slowStartFactorSum sum over the usable endpoints of 1, or of their factor in slow start
   */
  public void capacityChanged(double slowStartFactorSum) {
    double previousMaximum = maximum;
    effectiveEndpoints = Math.max(MIN_LIMIT, slowStartFactorSum);
    maximum =
        roundAboveOne(Math.max(MIN_LIMIT, ATTEMPTS_PER_ENDPOINT * effectiveEndpoints / nodeCount));
    boolean unbounded = estimator.updateCount() == 0 || limit >= previousMaximum;
    limit = unbounded ? maximum : Math.min(limit, maximum);
  }

  /** Fits the model to the interval that ends now, and sets the limit of the next one. */
  public void intervalEnded() {
    ClassIntervalStatistics tightest = tightestClass();
    if (tightest == null) {
      return;
    }
    double objectiveSeconds = tightest.latencyObjectiveSeconds();
    double inverseLatency = objectiveSeconds / tightest.serviceTimeQuantileSeconds(SLOW_QUANTILE);
    double fraction = limit / maximum;
    fit(inverseLatency, fraction);
    double next =
        limitReached
            ? steer(tightest, inverseLatency, fraction)
            // A limit that was not reached tells nothing; it drifts back to the maximum.
            : (fraction + 1) / 2;
    previousInverseLatency = inverseLatency;
    limitReached = false;
    limit = roundAboveOne(clip(next) * maximum);
  }

  /** Of the classes with an attempt that ended in this interval; null if there is none. */
  private ClassIntervalStatistics tightestClass() {
    return classes.stream()
        .filter(ClassIntervalStatistics::hasServiceTimes)
        .min(Comparator.comparingLong(one -> one.requestClass().latencyObjectiveNanos()))
        .orElse(null);
  }

  /** Fits changes, not values: a limit that does not vary tells nothing. */
  private void fit(double inverseLatency, double fraction) {
    boolean known = previousInverseLatency > 0;
    double change = inverseLatency - previousInverseLatency;
    if (known && limitReached && fraction != previousFraction) {
      SimpleMatrix regressor =
          LinearModel.column(previousInverseChange, fraction - previousFraction);
      estimator.update(regressor, change);
    }
    previousInverseChange = known ? change : 0;
    previousFraction = fraction;
  }

  private double steer(ClassIntervalStatistics tightest, double inverseLatency, double fraction) {
    double objectiveSeconds = tightest.latencyObjectiveSeconds();
    double serviceObjectiveSeconds =
        Math.max(
            objectiveSeconds * MIN_SERVICE_FRACTION, objectiveSeconds - tightest.meanWaitSeconds());
    double slope = slope(inverseLatency, fraction);
    LinearModel model =
        new LinearModel(
            LinearModel.column(inverseLatency - slope * fraction), LinearModel.column(slope));
    SimpleMatrix next =
        ControlLaw.nextInput(
            model,
            LinearModel.column(1),
            ACTUATION_PENALTY,
            LinearModel.column(objectiveSeconds / serviceObjectiveSeconds),
            LinearModel.column(fraction));
    return next.get(0);
  }

  /**
   * Effect of the limit, as a fraction of its maximum, on the inverse latency. Until the fit has
   * the known sign, it is that of Little's law: latency in proportion to the attempts in flight.
   */
  private double slope(double inverseLatency, double fraction) {
    double fitted = estimator.parameters(1, 2).get(0);
    return estimator.updateCount() >= MIN_UPDATES && fitted < 0
        ? fitted
        : -inverseLatency / fraction;
  }

  private static double clip(double fraction) {
    return Double.isFinite(fraction) ? Math.max(MIN_LIMIT, Math.min(1, fraction)) : 1;
  }

  private static double roundAboveOne(double value) {
    return value > 1 ? Math.rint(value) : value;
  }
}

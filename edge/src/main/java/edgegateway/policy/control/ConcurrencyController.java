package edgegateway.policy.control;

import java.util.Comparator;
import java.util.List;
import org.ejml.simple.SimpleMatrix;

/**
 * Controls the limit on concurrent attempts of this node. The maximum of the limit is the node's
 * part of the attempts that all endpoints may have in flight. Below the maximum, the limit is
 * adjusted once per control interval so that the 90th percentile of the service times of the class
 * with the tightest latency objective, plus the mean wait in the queue, meets that objective.
 */
public final class ConcurrencyController {
  /** The operators' limit on concurrent attempts per endpoint, over all nodes. */
  private static final double MAX_ATTEMPTS_PER_ENDPOINT = 6;

  /**
   * Minimum of the limit, of the limit as a fraction of its maximum, and of effective endpoints.
   */
  private static final double MIN_LIMIT = 0.25;

  /** Larger than the actuation penalty of the shares, as this control loop is slower. */
  private static final double ACTUATION_PENALTY = 0.7;

  /** The quantile of the service times that is controlled. */
  private static final double SERVICE_TIME_QUANTILE = 0.9;

  /**
   * Minimum fraction of the latency objective that remains for the service time, however long
   * requests wait in the queue.
   */
  private static final double MIN_SERVICE_FRACTION = 0.25;

  /** Number of updates of the estimator before its slope is used. */
  private static final int MIN_UPDATES = 3;

  private final List<ClassIntervalStatistics> classes;
  private final int nodeCount;

  /**
   * Predicts the change of the inverse latency over an interval. The inputs are its change over the
   * previous interval, and the change of the limit as a fraction of its maximum.
   */
  private final RecursiveLeastSquares estimator = new RecursiveLeastSquares(1, 2);

  private double effectiveEndpoints = 1;
  private double maxLimit = 1;
  private double limit = 1;
  private boolean limitReached;
  private double previousInverseLatency;
  private double previousInverseLatencyChange;
  private double previousFraction;

  /**
   * Creates a controller, which reads the statistics and never resets them.
   *
   * @param classes the statistics of all request classes
   * @param nodeCount number of nodes in the fleet
   */
  public ConcurrencyController(List<ClassIntervalStatistics> classes, int nodeCount) {
    this.classes = List.copyOf(classes);
    this.nodeCount = nodeCount;
  }

  /**
   * How many concurrent attempts this node may have now, above 0. A limit below 1 means one attempt
   * at a time with a delay between two attempts.
   */
  public double limit() {
    return limit;
  }

  /**
   * The number of usable endpoints, where an endpoint in slow start counts as its current fraction
   * of full capacity; at least 0.25.
   */
  public double effectiveEndpoints() {
    return effectiveEndpoints;
  }

  /** Records that the limit was reached in this interval, so that it may have delayed a request. */
  public void markLimitReached() {
    limitReached = true;
  }

  /**
   * The usable endpoints or their slow start changed. The maximum of the limit follows their
   * capacity, so that requests which an endpoint in slow start cannot serve yet wait in this node's
   * queue, where priority weights apply, and not in the queue of the endpoint.
   *
   * @param usableCapacity sum over the usable endpoints of 1 each, or of the fraction of full
   *     capacity for an endpoint in slow start
   */
  public void capacityChanged(double usableCapacity) {
    double previousMaxLimit = maxLimit;
    effectiveEndpoints = Math.max(MIN_LIMIT, usableCapacity);
    maxLimit =
        roundAboveOne(
            Math.max(MIN_LIMIT, MAX_ATTEMPTS_PER_ENDPOINT * effectiveEndpoints / nodeCount));
    boolean followsMaximum = estimator.updateCount() == 0 || limit >= previousMaxLimit;
    limit = followsMaximum ? maxLimit : Math.min(limit, maxLimit);
  }

  /** Updates the model with the interval that ends now, and sets the limit for the next one. */
  public void intervalEnded() {
    ClassIntervalStatistics tightestClass = tightestClass();
    if (tightestClass == null) {
      return;
    }
    double objectiveSeconds = tightestClass.latencyObjectiveSeconds();
    double inverseLatency =
        objectiveSeconds / tightestClass.serviceTimeQuantileSeconds(SERVICE_TIME_QUANTILE);
    double fraction = limit / maxLimit;
    fit(inverseLatency, fraction);
    double nextFraction =
        limitReached
            ? nextFraction(tightestClass, inverseLatency, fraction)
            // A limit that was not reached had no effect: it returns to the maximum gradually.
            : (fraction + 1) / 2;
    previousInverseLatency = inverseLatency;
    limitReached = false;
    limit = roundAboveOne(clampFraction(nextFraction) * maxLimit);
  }

  /**
   * The class with the tightest latency objective among those with an attempt that ended in this
   * interval; null if there is none.
   */
  private ClassIntervalStatistics tightestClass() {
    return classes.stream()
        .filter(ClassIntervalStatistics::hasServiceTimes)
        .min(
            Comparator.comparingLong(
                statistics -> statistics.requestClass().latencyObjectiveNanos()))
        .orElse(null);
  }

  /**
   * Updates the estimator with the changes since the previous interval, and not with the values,
   * because only a change of the limit gives information on its effect. An interval in which the
   * limit was not reached or did not change is left out.
   */
  private void fit(double inverseLatency, double fraction) {
    boolean hasPrevious = previousInverseLatency > 0;
    double change = inverseLatency - previousInverseLatency;
    if (hasPrevious && limitReached && fraction != previousFraction) {
      SimpleMatrix regressor =
          LinearModel.column(previousInverseLatencyChange, fraction - previousFraction);
      estimator.update(regressor, change);
    }
    previousInverseLatencyChange = hasPrevious ? change : 0;
    previousFraction = fraction;
  }

  /** The limit for the next interval by the control law, as a fraction of its maximum. */
  private double nextFraction(
      ClassIntervalStatistics tightestClass, double inverseLatency, double fraction) {
    double objectiveSeconds = tightestClass.latencyObjectiveSeconds();
    double serviceObjectiveSeconds =
        Math.max(
            objectiveSeconds * MIN_SERVICE_FRACTION,
            objectiveSeconds - tightestClass.meanWaitSeconds());
    double slope = slope(inverseLatency, fraction);
    LinearModel model =
        new LinearModel(
            LinearModel.column(inverseLatency - slope * fraction), LinearModel.column(slope));
    SimpleMatrix nextInput =
        ControlLaw.nextInput(
            model,
            LinearModel.column(1),
            ACTUATION_PENALTY,
            LinearModel.column(objectiveSeconds / serviceObjectiveSeconds),
            LinearModel.column(fraction));
    return nextInput.get(0);
  }

  /**
   * Effect of the limit, as a fraction of its maximum, on the inverse latency; it is negative.
   * Until the estimator has had enough updates and its slope is negative, the slope follows
   * Little's law: latency is proportional to the number of attempts in flight.
   */
  private double slope(double inverseLatency, double fraction) {
    double fitted = estimator.parameters(1, 2).get(0);
    return estimator.updateCount() >= MIN_UPDATES && fitted < 0
        ? fitted
        : -inverseLatency / fraction;
  }

  private static double clampFraction(double fraction) {
    return Double.isFinite(fraction) ? Math.max(MIN_LIMIT, Math.min(1, fraction)) : 1;
  }

  /** Rounds a limit above 1 to an integer. */
  private static double roundAboveOne(double value) {
    return value > 1 ? Math.rint(value) : value;
  }
}

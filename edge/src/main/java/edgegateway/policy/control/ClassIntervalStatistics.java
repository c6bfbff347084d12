package edgegateway.policy.control;

import edgegateway.policy.api.RequestClass;
import java.util.ArrayList;
import java.util.List;

/**
 * What one control interval saw of a request class. {@link #reset} begins the next interval; only
 * the average of the priced units lives on.
 */
public final class ClassIntervalStatistics {
  /** Normalized inverse latency is 1 where the mean latency is a tenth of the objective. */
  static final double INVERSE_LATENCY_SCALE = 10;

  private static final double SECONDS_PER_NANO = 1e-9;

  /** Weight of a request in the average of priced units. */
  private static final double PRICE_SMOOTHING = 0.02;

  /** A failure counts as at least this many latency objectives. */
  private static final double FAILURE_OBJECTIVES = 2;

  private static final double MIN_LATENCY_SUM_SECONDS = 1e-6;

  private final RequestClass requestClass;
  private final List<Double> serviceTimesSeconds = new ArrayList<>();
  private double averagePricedUnits = 1;
  private double latencySumSeconds;
  private double waitSumSeconds;
  private int arrivals;
  private int succeeded;

  /** Statistics of a class before its first interval. */
  public ClassIntervalStatistics(RequestClass requestClass) {
    this.requestClass = requestClass;
  }

  /** A request of this class was received. */
  public void requestArrived() {
    arrivals++;
  }

  /**
   * An attempt succeeded.
   *
   * @param pricedUnits units of the request times the price factor of its plan
   * @param latencySeconds from the arrival of the request to its answer
   * @param waitSeconds from the arrival of the request to the start of this attempt
   * @param serviceSeconds duration of this attempt
   */
  public void attemptSucceeded(
      double pricedUnits, double latencySeconds, double waitSeconds, double serviceSeconds) {
    succeeded++;
    averagePricedUnits += PRICE_SMOOTHING * (pricedUnits - averagePricedUnits);
    latencySumSeconds += latencySeconds;
    waitSumSeconds += waitSeconds;
    serviceTimesSeconds.add(serviceSeconds);
  }

  /**
   * An attempt failed. It counts as slow, however fast it was: errors must not raise the
   * concurrency limit.
   *
   * @param serviceSeconds duration of this attempt
   * @param cutShort whether the node itself ended it early to try another endpoint; such an attempt
   *     was slow already and counts as it was
   */
  public void attemptFailed(double serviceSeconds, boolean cutShort) {
    double slow = Math.max(serviceSeconds, FAILURE_OBJECTIVES * latencyObjectiveSeconds());
    serviceTimesSeconds.add(cutShort ? serviceSeconds : slow);
  }

  /** Begins the next interval. */
  public void reset() {
    arrivals = 0;
    succeeded = 0;
    latencySumSeconds = 0;
    waitSumSeconds = 0;
    serviceTimesSeconds.clear();
  }

  RequestClass requestClass() {
    return requestClass;
  }

  int arrivals() {
    return arrivals;
  }

  int succeeded() {
    return succeeded;
  }

  boolean hasServiceTimes() {
    return !serviceTimesSeconds.isEmpty();
  }

  double latencyObjectiveSeconds() {
    return requestClass.latencyObjectiveNanos() * SECONDS_PER_NANO;
  }

  /** Value of an average request of this class that is answered in time: weight times price. */
  double valuePerRequest() {
    return requestClass.priorityWeight() * averagePricedUnits;
  }

  /** Mean wait of a successful request before its last attempt, in seconds; 0 if there is none. */
  double meanWaitSeconds() {
    return waitSumSeconds / Math.max(1, succeeded);
  }

  /**
   * Latency objective over mean latency, in units of {@link #INVERSE_LATENCY_SCALE}, to be of one
   * size with the shares: 0 to 1.
   */
  double normalizedInverseLatency() {
    double inverse =
        latencyObjectiveSeconds()
            * succeeded
            / Math.max(MIN_LATENCY_SUM_SECONDS, latencySumSeconds);
    return Math.min(1, inverse / INVERSE_LATENCY_SCALE);
  }

  /**
   * A quantile of the service times of this interval, in seconds.
   *
   * @param quantile 0 to 1
   * @throws ArrayIndexOutOfBoundsException if no attempt ended in this interval
   */
  double serviceTimeQuantileSeconds(double quantile) {
    double[] sorted = serviceTimesSeconds.stream().mapToDouble(time -> time).sorted().toArray();
    return sorted[(int) (quantile * (sorted.length - 1))];
  }
}

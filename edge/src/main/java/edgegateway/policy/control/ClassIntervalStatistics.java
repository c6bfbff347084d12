package edgegateway.policy.control;

import edgegateway.policy.api.RequestClass;
import java.util.ArrayList;
import java.util.List;

/**
 * Statistics of a request class over one control interval. {@link #reset} starts the next interval;
 * only the moving average of the weighted units is kept across intervals.
 */
public final class ClassIntervalStatistics {
  /**
   * The normalized inverse latency is 1 where the mean latency is the latency objective divided by
   * this.
   */
  static final double INVERSE_LATENCY_SCALE = 10;

  private static final double SECONDS_PER_NANO = 1e-9;

  /** Weight of a request in the moving average of the weighted units. */
  private static final double WEIGHTED_UNITS_SMOOTHING = 0.02;

  /** Minimum service time that a failed attempt counts with, in latency objectives. */
  private static final double MIN_FAILURE_OBJECTIVES = 2;

  /** Avoids a division by 0. */
  private static final double MIN_LATENCY_SUM_SECONDS = 1e-6;

  private final RequestClass requestClass;
  private final List<Double> serviceTimesSeconds = new ArrayList<>();
  private double averageWeightedUnits = 1;
  private double latencySumSeconds;
  private double waitSumSeconds;
  private int arrivals;
  private int succeeded;

  /** Creates empty statistics of a class. */
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
   * @param weightedUnits units of the request times the priority factor of its plan
   * @param latencySeconds time from the arrival of the request to its answer
   * @param waitSeconds time from the arrival of the request to the start of this attempt
   * @param serviceSeconds duration of this attempt
   */
  public void attemptSucceeded(
      double weightedUnits, double latencySeconds, double waitSeconds, double serviceSeconds) {
    succeeded++;
    averageWeightedUnits += WEIGHTED_UNITS_SMOOTHING * (weightedUnits - averageWeightedUnits);
    latencySumSeconds += latencySeconds;
    waitSumSeconds += waitSeconds;
    serviceTimesSeconds.add(serviceSeconds);
  }

  /**
   * An attempt failed. It counts as slow even if it failed fast, because errors must not raise the
   * concurrency limit.
   *
   * @param serviceSeconds duration of this attempt
   * @param timedOutBeforeObjective whether the node ended the attempt by a timeout before the
   *     latency objective, so that a retry on another endpoint is still possible; such an attempt
   *     was slow already and counts with its actual duration
   */
  public void attemptFailed(double serviceSeconds, boolean timedOutBeforeObjective) {
    double failureSeconds =
        Math.max(serviceSeconds, MIN_FAILURE_OBJECTIVES * latencyObjectiveSeconds());
    serviceTimesSeconds.add(timedOutBeforeObjective ? serviceSeconds : failureSeconds);
  }

  /** Starts the next interval. */
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

  /**
   * Value of an average request of this class that is answered in time: priority weight times
   * average weighted units.
   */
  double valuePerRequest() {
    return requestClass.priorityWeight() * averageWeightedUnits;
  }

  /**
   * Mean time from the arrival of a successful request to the start of its last attempt, in
   * seconds; 0 if no request succeeded in this interval.
   */
  double meanWaitSeconds() {
    return waitSumSeconds / Math.max(1, succeeded);
  }

  /**
   * Latency objective divided by mean latency and by {@link #INVERSE_LATENCY_SCALE}, at most 1. The
   * range of 0 to 1 is the same as that of the shares.
   */
  double normalizedInverseLatency() {
    double inverse =
        latencyObjectiveSeconds()
            * succeeded
            / Math.max(MIN_LATENCY_SUM_SECONDS, latencySumSeconds);
    return Math.min(1, inverse / INVERSE_LATENCY_SCALE);
  }

  /**
   * A quantile of the service times in this interval, in seconds; failed attempts included.
   *
   * @param quantile 0 to 1
   * @throws ArrayIndexOutOfBoundsException if no attempt ended in this interval
   */
  double serviceTimeQuantileSeconds(double quantile) {
    double[] sorted = serviceTimesSeconds.stream().mapToDouble(time -> time).sorted().toArray();
    return sorted[(int) (quantile * (sorted.length - 1))];
  }
}

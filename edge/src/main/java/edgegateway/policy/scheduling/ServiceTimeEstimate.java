package edgegateway.policy.scheduling;

import edgegateway.policy.api.RequestClass;
import edgegateway.policy.time.Durations;

/**
 * Estimates the service time of a request of one class, from the moving averages of the service
 * time and of the units of the class's successful attempts.
 */
public final class ServiceTimeEstimate {
  /** Weight of an attempt in the moving averages. */
  private static final double SMOOTHING_FACTOR = 0.02;

  /** Until the first answer, the average is the latency objective divided by this. */
  private static final int INITIAL_OBJECTIVE_DIVISOR = 8;

  /** Bounds of the ratio of a request's units to the average units. */
  private static final double MIN_UNITS_RATIO = 0.3;

  private static final double MAX_UNITS_RATIO = 3;

  /** Avoids a division by 0. */
  private static final double MIN_AVERAGE_UNITS = 1e-9;

  private double averageSeconds;
  private double averageUnits = 1;

  ServiceTimeEstimate(RequestClass requestClass) {
    double objectiveSeconds = requestClass.latencyObjectiveNanos() * Durations.SECONDS_PER_NANO;
    averageSeconds = objectiveSeconds / INITIAL_OBJECTIVE_DIVISOR;
  }

  /** The average service time in seconds. */
  public double averageSeconds() {
    return averageSeconds;
  }

  /** Sets the average, in seconds, to that of the process that this one replaces. */
  public void setAverageSeconds(double seconds) {
    averageSeconds = seconds;
  }

  /** The expected service time, in seconds, of a request that takes some units of the quota. */
  double expectedSeconds(double units) {
    double ratio = units / Math.max(MIN_AVERAGE_UNITS, averageUnits);
    return averageSeconds * Math.max(MIN_UNITS_RATIO, Math.min(MAX_UNITS_RATIO, ratio));
  }

  /** Adds a successful attempt to the averages. */
  void attemptSucceeded(double serviceSeconds, double units) {
    averageSeconds += SMOOTHING_FACTOR * (serviceSeconds - averageSeconds);
    averageUnits += SMOOTHING_FACTOR * (units - averageUnits);
  }
}

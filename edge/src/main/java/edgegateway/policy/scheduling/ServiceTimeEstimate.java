package edgegateway.policy.scheduling;

import edgegateway.policy.api.RequestClass;
import edgegateway.policy.time.Durations;

/** The average service time of a request class, and what a request of it is expected to take. */
public final class ServiceTimeEstimate {
  private static final double AVERAGE_WEIGHT = 0.02;

  /** Before the first answer: this part of the latency objective. */
  private static final int INITIAL_PARTS_OF_OBJECTIVE = 8;

  /** A request's units count within these factors of the average. */
  private static final double MIN_UNITS_FACTOR = 0.3;

  private static final double MAX_UNITS_FACTOR = 3;
  private static final double MIN_AVERAGE_UNITS = 1e-9;

  private double averageSeconds;
  private double averageUnits = 1;

  ServiceTimeEstimate(RequestClass requestClass) {
    double objectiveSeconds = requestClass.latencyObjectiveNanos() * Durations.SECONDS_PER_NANO;
    averageSeconds = objectiveSeconds / INITIAL_PARTS_OF_OBJECTIVE;
  }

  /** The average service time in seconds. */
  public double averageSeconds() {
    return averageSeconds;
  }

  /** Goes on from the average (in seconds) of the process that this one replaces. */
  public void setAverageSeconds(double seconds) {
    averageSeconds = seconds;
  }

  /** The service time to expect of a request of some units, in seconds. */
  double expectedSeconds(double units) {
    double factor = units / Math.max(MIN_AVERAGE_UNITS, averageUnits);
    return averageSeconds * Math.max(MIN_UNITS_FACTOR, Math.min(MAX_UNITS_FACTOR, factor));
  }

  /** Counts an attempt that succeeded. */
  void attemptSucceeded(double seconds, double units) {
    averageSeconds += AVERAGE_WEIGHT * (seconds - averageSeconds);
    averageUnits += AVERAGE_WEIGHT * (units - averageUnits);
  }
}

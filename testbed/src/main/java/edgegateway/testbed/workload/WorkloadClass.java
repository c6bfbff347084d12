package edgegateway.testbed.workload;

/**
 * The workload of one request class. Error messages name the settings of the scenario file.
 *
 * @param name the class's name in the edge nodes' settings
 * @param share its share of all requests, above 0; shares need not sum to 1
 * @param hasIdempotencyKey whether its requests carry an idempotency key; requests of other classes
 *     are safe to retry without one
 * @param latencyObjectiveNanos a response after this time has no value, in nanoseconds
 * @param deadlineNanos the longest time that a client waits, in nanoseconds
 * @param meanWorkNanos mean service time of a request on one core, in nanoseconds
 * @param priorityWeight the value of a response, above 0
 */
public record WorkloadClass(
    String name,
    double share,
    boolean hasIdempotencyKey,
    long latencyObjectiveNanos,
    long deadlineNanos,
    double meanWorkNanos,
    double priorityWeight) {
  /** Validates the ranges; an error message names the setting. */
  public WorkloadClass {
    requirePositive(name, "share", share);
    requirePositive(name, "aim", latencyObjectiveNanos);
    requirePositive(name, "deadline", deadlineNanos);
    requirePositive(name, "work", meanWorkNanos);
    requirePositive(name, "worth", priorityWeight);
  }

  static void requirePositive(String owner, String setting, double value) {
    if (!(value > 0)) {
      throw new IllegalArgumentException(owner + ": " + setting + " is not above 0");
    }
  }
}

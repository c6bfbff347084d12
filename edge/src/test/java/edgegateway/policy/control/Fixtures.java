package edgegateway.policy.control;

import edgegateway.policy.api.DeduplicationScope;
import edgegateway.policy.api.Idempotency;
import edgegateway.policy.api.RequestClass;

/** Statistics of request classes for the tests of the controllers. */
final class Fixtures {
  static final double OBJECTIVE_SECONDS = 0.5;

  private Fixtures() {}

  /** Empty statistics of a class with a latency objective of {@link #OBJECTIVE_SECONDS}. */
  static ClassIntervalStatistics statistics(double priorityWeight) {
    return statistics(priorityWeight, 500_000_000L);
  }

  static ClassIntervalStatistics statistics(double priorityWeight, long latencyObjectiveNanos) {
    return new ClassIntervalStatistics(
        new RequestClass(
            latencyObjectiveNanos,
            2 * latencyObjectiveNanos,
            Idempotency.IDEMPOTENT,
            DeduplicationScope.ALL,
            0,
            0,
            priorityWeight));
  }

  /** Records {@code count} identical requests of 1 weighted unit that arrived and succeeded. */
  static void succeed(
      ClassIntervalStatistics statistics, int count, double waitSeconds, double serviceSeconds) {
    for (int request = 0; request < count; request++) {
      statistics.requestArrived();
      statistics.attemptSucceeded(1, waitSeconds + serviceSeconds, waitSeconds, serviceSeconds);
    }
  }
}

package edgegateway.policy.quota;

import edgegateway.policy.api.QuotaPlan;

/**
 * The priority of asking the counter before a request is admitted: what a wrong decision may cost,
 * in multiples of the usual cost.
 */
final class CallPriority {
  private static final double AVERAGE_WEIGHT = 0.02;
  private static final double MIN_AVERAGE = 1e-9;

  /** Clients repeat what was rejected: of those another rejection costs less. */
  private static final double CLIENT_RETRY_FACTOR = 0.3;

  /** What fits into the local share is seldom over the quota, and should not wait for a call. */
  private static final double WITHIN_LOCAL_SHARE_FACTOR = 0.1;

  private double averageStake;

  /**
   * Returns the priority of a call, and counts it into the average.
   *
   * @param priorityWeight the weight of the request's class
   * @param plan the customer's plan
   * @param customerNodes the nodes that the customer comes through: with many, local usage tells
   *     little
   * @param allNodes all nodes
   * @param withinLocalShare whether the request fits into the local share of the quota
   * @return the priority; 1 is the usual one
   */
  double of(
      QuotaReservation reservation,
      double priorityWeight,
      QuotaPlan plan,
      int customerNodes,
      int allNodes,
      boolean withinLocalShare) {
    double stake =
        priorityWeight
            * plan.priorityFactor()
            * plan.overQuotaCostFraction()
            * reservation.units()
            * customerNodes
            / allNodes
            * (reservation.clientRetry() ? CLIENT_RETRY_FACTOR : 1);
    averageStake += AVERAGE_WEIGHT * (stake - averageStake);
    double priority = stake / Math.max(MIN_AVERAGE, averageStake);
    return withinLocalShare ? priority * WITHIN_LOCAL_SHARE_FACTOR : priority;
  }
}

package edgegateway.policy.quota;

import edgegateway.policy.api.QuotaPlan;

/**
 * Computes the priority of calls to the shared counter that are sent before a request is admitted.
 * The priority is the possible cost of a wrong decision, as a multiple of the average of that cost.
 */
final class CallPriority {
  private static final double AVERAGE_WEIGHT = 0.02;
  private static final double MIN_AVERAGE_COST = 1e-9;

  /**
   * Clients retry rejected requests, so rejecting a request that already is such a retry costs
   * less.
   */
  private static final double CLIENT_RETRY_FACTOR = 0.3;

  /**
   * A request that fits into the local share is seldom over quota and should not wait for a call.
   */
  private static final double WITHIN_LOCAL_SHARE_FACTOR = 0.1;

  private double averageCost;

  /**
   * Returns the priority of a call and includes its cost in the average.
   *
   * @param reservation the request's reservation
   * @param priorityWeight the weight of the request's class
   * @param plan the customer's plan
   * @param customerNodes the number of nodes that receive the customer's requests; the more there
   *     are, the less the local usage says about the total
   * @param allNodes the number of all edge nodes
   * @param withinLocalShare whether the request fits into the local share of the quota
   * @return the priority; 1 is average
   */
  double compute(
      QuotaReservation reservation,
      double priorityWeight,
      QuotaPlan plan,
      int customerNodes,
      int allNodes,
      boolean withinLocalShare) {
    double wrongDecisionCost =
        priorityWeight
            * plan.priorityFactor()
            * plan.overQuotaCostFraction()
            * reservation.units()
            * customerNodes
            / allNodes
            * (reservation.clientRetry() ? CLIENT_RETRY_FACTOR : 1);
    averageCost += AVERAGE_WEIGHT * (wrongDecisionCost - averageCost);
    double priority = wrongDecisionCost / Math.max(MIN_AVERAGE_COST, averageCost);
    return withinLocalShare ? priority * WITHIN_LOCAL_SHARE_FACTOR : priority;
  }
}

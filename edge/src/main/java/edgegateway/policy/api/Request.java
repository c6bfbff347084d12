package edgegateway.policy.api;

/**
 * A request as the host received it.
 *
 * @param id unique and opaque; never null
 * @param requestClass index into {@link PolicySettings#requestClasses}
 * @param plan index into {@link PolicySettings#quotaPlans}
 * @param customer key of the customer, 0 or more
 * @param deadlineNanos when the client stops waiting, on the policy's clock
 * @param units what it takes from the quota; an estimate where {@link
 *     CounterSettings#reportsActualUnits}
 * @param customerNodeCount number of nodes that this customer's requests come through, at least 1
 * @param firstCustomerNode index of the first of these nodes; the others follow in sequence, and
 *     index 0 follows the last
 * @param clientRetry whether the client marked it as a retry
 */
public record Request(
    String id,
    int requestClass,
    int plan,
    long customer,
    long deadlineNanos,
    double units,
    int customerNodeCount,
    int firstCustomerNode,
    boolean clientRetry) {}

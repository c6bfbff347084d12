package edgegateway.policy.api;

/**
 * A request as the host received it.
 *
 * @param id unique, opaque id; never null
 * @param requestClass index into {@link PolicySettings#requestClasses}
 * @param plan index into {@link PolicySettings#quotaPlans}
 * @param customer key of the customer, 0 or more
 * @param deadlineNanos time at which the client stops waiting, in nanoseconds of the policy's clock
 * @param units quota units that the request uses; an estimate if {@link
 *     CounterSettings#reportsActualUnits}
 * @param customerNodeCount number of nodes that receive this customer's requests, at least 1
 * @param firstCustomerNode index of the first of these nodes; the others follow in sequence, and
 *     index 0 follows the last index
 * @param clientRetry whether the client marked the request as a retry
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

package edgegateway.policy.api;

import java.util.List;

/**
 * Settings of a policy; they do not change during its lifetime.
 *
 * @param nodeIndex index of this node, 0 to {@code nodeCount} - 1
 * @param nodeCount number of nodes in the fleet, at least 1
 * @param localZone index of the zone of this node
 * @param tickNanos minimum time between two batches of events, in nanoseconds; 0 if events arrive
 *     at any time
 * @param endpointWeightsUsed whether {@link Endpoint#weight} is used
 * @param loadReportNames names of the values of a load report, in their order; empty if there are
 *     no load reports
 * @param requestClasses the request classes; {@link Request#requestClass} is an index into this
 *     list
 * @param quotaPlans the quota plans; {@link Request#plan} is an index into this list
 * @param limits limits on the requests of a node
 * @param counter settings of the shared quota counter
 * @param rules guarantees and limits of the platform
 */
public record PolicySettings(
    int nodeIndex,
    int nodeCount,
    int localZone,
    long tickNanos,
    boolean endpointWeightsUsed,
    List<String> loadReportNames,
    List<RequestClass> requestClasses,
    List<QuotaPlan> quotaPlans,
    RequestLimits limits,
    CounterSettings counter,
    PlatformRules rules) {}

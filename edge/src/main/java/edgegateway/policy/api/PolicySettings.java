package edgegateway.policy.api;

import java.util.List;

/**
 * What an instance is told at its start.
 *
 * @param nodeIndex its number, from 0
 * @param nodeCount how many gateways there are
 * @param localZone its zone
 * @param tickNanos events come at most this often
 * @param endpointWeightsUsed whether the sizes in the list mean anything
 * @param loadReportNames the names of the load report's values
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

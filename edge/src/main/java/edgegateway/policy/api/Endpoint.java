package edgegateway.policy.api;

/**
 * An entry of the endpoint list: an archive server that requests can be sent to.
 *
 * @param id unique and opaque; never null
 * @param weight size relative to other endpoints, meaningful only where {@link
 *     PolicySettings#endpointWeightsUsed}; 0 or less is taken as 1
 * @param zone index of its zone; negative if it has none
 * @param cell number of its cell, the set of endpoints that share the idempotency keys they saw
 * @param machineType index of its machine type; endpoints of one type are expected to be equally
 *     fast
 * @param state whether requests may be sent to it
 * @param startedAtNanos when it was last started; 0 if that is long ago. A new value means a
 *     restart
 */
public record Endpoint(
    String id,
    double weight,
    int zone,
    int cell,
    int machineType,
    EndpointState state,
    long startedAtNanos) {}

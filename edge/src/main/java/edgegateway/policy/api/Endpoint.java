package edgegateway.policy.api;

/**
 * An entry of the endpoint list: an archive server that requests can be sent to.
 *
 * @param id unique, opaque id; never null
 * @param weight capacity relative to other endpoints, used only if {@link
 *     PolicySettings#endpointWeightsUsed}; 0 or less counts as 1
 * @param zone index of its zone; negative if it has none
 * @param cell number of its cell, a set of endpoints that share their known idempotency keys
 * @param machineType index of its machine type; endpoints of the same type are expected to be
 *     equally fast
 * @param state whether it may receive requests
 * @param startedAtNanos time of its last start, in nanoseconds of the policy's clock; 0 if it
 *     started long ago. A changed value means that it was restarted
 */
public record Endpoint(
    String id,
    double weight,
    int zone,
    int cell,
    int machineType,
    EndpointState state,
    long startedAtNanos) {}

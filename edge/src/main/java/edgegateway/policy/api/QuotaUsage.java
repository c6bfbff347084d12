package edgegateway.policy.api;

/**
 * What a node knows of the quota usage of a customer, for a {@link StateTransfer}.
 *
 * @param customer key of the customer
 * @param plan index of its quota plan
 * @param customerNodeCount number of nodes that the customer's requests come through
 * @param window number of the present counting window; {@link Long#MIN_VALUE} before the first
 * @param localUsage units that this node added to the counter in that window
 * @param remoteUsage units that the other nodes added in that window, as of the last answer
 * @param tokens estimated units left in the quota's token bucket; may be negative
 * @param remoteUnitsPerSecond estimated rate of the other nodes' usage
 * @param predictedRemoteUsage units by which {@code tokens} was lowered for usage of other nodes
 *     since the last answer of the counter
 * @param unreportedUnits units not yet added to the counter; may be negative
 * @param ceilingTokens units that the receiver may forward at once under the ceiling
 * @param lastUpdateNanos when the counter last answered
 */
public record QuotaUsage(
    long customer,
    int plan,
    int customerNodeCount,
    long window,
    double localUsage,
    double remoteUsage,
    double tokens,
    double remoteUnitsPerSecond,
    double predictedRemoteUsage,
    double unreportedUnits,
    double ceilingTokens,
    long lastUpdateNanos) {}

package edgegateway.policy.api;

/**
 * The quota usage of one customer as a node knows it, for a {@link StateTransfer}.
 *
 * @param customer key of the customer
 * @param plan index of its quota plan
 * @param customerNodeCount number of nodes that receive the customer's requests
 * @param window number of the current counting window; {@link Long#MIN_VALUE} before the first
 * @param localUsage units that this node added to the counter in that window
 * @param remoteUsage units that the other nodes added in that window, by the counter's last total
 * @param tokens estimated units in the quota's token bucket; may be negative
 * @param remoteUnitsPerSecond estimated rate of the other nodes' usage
 * @param predictedRemoteUsage units subtracted from {@code tokens} for the predicted usage of the
 *     other nodes since the counter's last total
 * @param unreportedUnits units not yet added to the counter; may be negative
 * @param ceilingTokens units of the ceiling's token bucket that pass to the receiver
 * @param lastUpdateNanos time of the counter's last total, in nanoseconds of the policy's clock
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

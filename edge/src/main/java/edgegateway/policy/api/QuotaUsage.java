package edgegateway.policy.api;

/**
 * What a gateway knows of a customer's use; the fields are those of the module.
 *
 * @param ceilingTokens what the receiver may send on under the ceiling, at once
 */
public record QuotaUsage(
    long customer,
    int plan,
    int gatewayCount,
    long window,
    double localUsage,
    double remoteUsage,
    double tokens,
    double remoteUnitsPerSecond,
    double predictedRemoteUsage,
    double unreportedUnits,
    double ceilingTokens,
    long lastUpdateNanos) {}

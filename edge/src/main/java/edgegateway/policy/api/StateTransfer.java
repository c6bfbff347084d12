package edgegateway.policy.api;

import java.util.List;

/**
 * What a gateway that ends hands to the one that goes on in its place.
 *
 * @param counterCallsPerSecond calls to the counter a second
 * @param serviceTimesSeconds the usual span of each class, in seconds
 */
public record StateTransfer(
    double counterCallsPerSecond, List<Double> serviceTimesSeconds, List<QuotaUsage> quotaUsages) {}

package edgegateway.policy.api;

import java.util.List;

/**
 * State that a process hands to the one that takes over from it in an upgrade.
 *
 * @param counterCallsPerSecond budget of calls to the shared quota counter
 * @param serviceTimesSeconds usual service time of each request class, in the order of {@link
 *     PolicySettings#requestClasses}
 * @param quotaUsages usage of each customer
 */
public record StateTransfer(
    double counterCallsPerSecond, List<Double> serviceTimesSeconds, List<QuotaUsage> quotaUsages) {}

package edgegateway.policy.api;

import java.util.List;

/**
 * The state that a process passes to the process that replaces it in an upgrade.
 *
 * @param counterCallsPerSecond rate limit of calls to the shared quota counter
 * @param serviceTimesSeconds average service time of each request class, in the order of {@link
 *     PolicySettings#requestClasses}
 * @param quotaUsages quota usage of each customer
 */
public record StateTransfer(
    double counterCallsPerSecond, List<Double> serviceTimesSeconds, List<QuotaUsage> quotaUsages) {}

package edgegateway.policy.api;

/**
 * A quota plan. Its limits hold for each customer over all nodes together.
 *
 * <p>Each customer has a token bucket for the quota, which only sets what a request is worth, and
 * one for the ceiling, which must never be passed. Both start full.
 *
 * @param unitsPerSecond refill rate of the quota; 0 for no quota
 * @param burstUnits capacity of the quota's token bucket, in units
 * @param maxConcurrentAttempts attempts in flight; 0 for no limit
 * @param priorityFactor factor on the priority weight of the plan's requests
 * @param overQuotaValueFraction fraction of its value that a request over quota earns when it is
 *     forwarded
 * @param overQuotaCostFraction fraction of its value that forwarding a request over quota costs,
 *     answered or not
 * @param ceilingUnitsPerSecond refill rate of the ceiling; 0 for no ceiling
 * @param ceilingBurstUnits capacity of the ceiling's token bucket, in units
 * @param ceilingSlackUnits how far below 0 that token bucket may fall, in units
 */
public record QuotaPlan(
    double unitsPerSecond,
    double burstUnits,
    int maxConcurrentAttempts,
    double priorityFactor,
    double overQuotaValueFraction,
    double overQuotaCostFraction,
    double ceilingUnitsPerSecond,
    double ceilingBurstUnits,
    double ceilingSlackUnits) {}

package edgegateway.policy.api;

/**
 * A quota plan. Its limits apply to each customer and to all nodes together.
 *
 * <p>Each customer has a token bucket for the quota and one for the ceiling; both start full. A
 * request over quota only has less value, while the ceiling must not be exceeded. A node that
 * starts treats its share of the ceiling's bucket as empty, since it does not know what it used
 * before a restart.
 *
 * @param unitsPerSecond refill rate of the quota, in units per second; 0 for no quota
 * @param burstUnits capacity of the quota's token bucket, in units
 * @param maxConcurrentAttempts maximum number of attempts in flight; 0 for no limit
 * @param priorityFactor factor on {@link RequestClass#priorityWeight} for the plan's requests
 * @param overQuotaValueFraction fraction of its value that a request over quota earns when it is
 *     forwarded
 * @param overQuotaCostFraction fraction of its value that forwarding a request over quota costs,
 *     whether or not it is answered
 * @param ceilingUnitsPerSecond refill rate of the ceiling, in units per second; 0 for no ceiling
 * @param ceilingBurstUnits capacity of the ceiling's token bucket, in units
 * @param ceilingSlackUnits how far below 0 the ceiling's token bucket may fall, in units
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

package edgegateway.policy.api;

/**
 * A plan; its figures hold for each customer over all gateways.
 *
 * @param unitsPerSecond units a second of the quota; 0 for none
 * @param burstUnits units the quota's store holds
 * @param maxConcurrentAttempts attempts out at once; 0 for no limit
 * @param priceFactor factor on the worth
 * @param overQuotaValueFraction the part of the worth earned beyond the quota
 * @param overQuotaCostFraction the part of the worth that sending beyond the quota costs
 * @param ceilingUnitsPerSecond units a second of the hard ceiling; 0 for none
 * @param ceilingBurstUnits units the ceiling's store holds
 * @param ceilingSlackUnits how far below nothing that store may fall
 */
public record QuotaPlan(
    double unitsPerSecond,
    double burstUnits,
    int maxConcurrentAttempts,
    double priceFactor,
    double overQuotaValueFraction,
    double overQuotaCostFraction,
    double ceilingUnitsPerSecond,
    double ceilingBurstUnits,
    double ceilingSlackUnits) {}

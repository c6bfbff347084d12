package edgegateway.policy.api;

/**
 * How a zone is used now.
 *
 * @param trafficFraction fraction of its usual traffic that it gets: 0 if ejected, 1 if in full
 *     use, between them on a ramp
 * @param sinceNanos when the ramp to this state started; 0 if there never was one
 * @param listedEndpoints endpoints of the zone in the list
 * @param usableEndpoints those that may be sent to
 * @param byOperator whether an operator's decision set this, not the fleet's
 */
public record ZoneStatus(
    double trafficFraction,
    long sinceNanos,
    int listedEndpoints,
    int usableEndpoints,
    boolean byOperator) {}

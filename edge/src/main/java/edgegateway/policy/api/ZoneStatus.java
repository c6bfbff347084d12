package edgegateway.policy.api;

/**
 * How much traffic a zone gets, and who decided on it.
 *
 * @param trafficFraction fraction of its usual traffic that the zone gets: 0 if it is ejected, 1
 *     for its full traffic, a value between them during a ramp
 * @param sinceNanos start of the operator's last traffic ramp for the zone, or of the fleet's if
 *     operators never changed the zone, in nanoseconds of the policy's clock; 0 if there is none
 * @param listedEndpoints number of the zone's endpoints in the list
 * @param usableEndpoints number of them that are ready and not ejected by an operator
 * @param byOperator whether an operator and not the fleet decided on the traffic
 */
public record ZoneStatus(
    double trafficFraction,
    long sinceNanos,
    int listedEndpoints,
    int usableEndpoints,
    boolean byOperator) {}

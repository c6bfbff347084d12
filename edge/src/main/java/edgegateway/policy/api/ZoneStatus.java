package edgegateway.policy.api;

/**
 * How a zone stands.
 *
 * @param trafficFraction the part of the work that it would get that it gets now: 0 out, 1 in,
 *     between them on its way back
 * @param sinceNanos when that began; 0 for always
 * @param listedEndpoints its servers on the list
 * @param usableEndpoints those that may be sent to
 * @param byOperator whether operators decided that
 */
public record ZoneStatus(
    double trafficFraction,
    long sinceNanos,
    int listedEndpoints,
    int usableEndpoints,
    boolean byOperator) {}

package edgegateway.policy.api;

/**
 * Results of this node's attempts in a zone. An error, a timeout and a connection that failed or
 * broke are failures. {@link Outcome#REJECTED} is not, since it means overload and no fault of the
 * zone. An attempt is overdue if it is in flight for much longer than its expected service time and
 * was sent after the last answer from the zone.
 *
 * @param zone index of the zone
 * @param recentAttempts attempts that ended, decaying exponentially with a time constant of 1 s,
 *     plus overdue attempts
 * @param recentFailures failures among them, including overdue attempts
 * @param failureExcess cumulative sum (Page, 1954) of failures against answers, at least 0: an
 *     unanswered attempt adds 1, an error adds 0.5, and any other answer subtracts 1. It decays
 *     exponentially with a time constant of 5 s. Each overdue attempt adds 1
 * @param listedEndpoints number of the zone's endpoints in the list
 * @param observedEndpoints number of listed endpoints where an attempt ended in the last few
 *     seconds, that became known in that time, or that have an overdue attempt
 * @param failingEndpoints number of observed endpoints whose last attempt failed or that have an
 *     overdue attempt
 * @param unresponsiveEndpoints number of observed endpoints whose last attempt failed without an
 *     answer or that have an overdue attempt
 * @param slowStartEndpoints number of listed endpoints in slow start, as far as this node knows
 * @param endpointFraction the zone's fraction of the listed endpoints of all zones, 0 to 1
 * @param totalAttempts number of attempts that ended since the start of the node
 * @param totalFailures number of failures among them
 * @param lastAnswerNanos time of the last answer from an endpoint of the zone, including errors, in
 *     nanoseconds of the policy's clock; the start of the node if there was none
 */
public record ZoneHealth(
    int zone,
    double recentAttempts,
    double recentFailures,
    double failureExcess,
    int listedEndpoints,
    int observedEndpoints,
    int failingEndpoints,
    int unresponsiveEndpoints,
    int slowStartEndpoints,
    double endpointFraction,
    long totalAttempts,
    long totalFailures,
    long lastAnswerNanos) {}

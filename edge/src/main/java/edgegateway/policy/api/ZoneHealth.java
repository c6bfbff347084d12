package edgegateway.policy.api;

/**
 * How this node's attempts fared in a zone. A failure is an error, a timeout or a connection that
 * failed or broke; {@link Outcome#REJECTED} is none, since overload is no fault of a zone.
 *
 * @param zone index of the zone
 * @param recentAttempts attempts that ended, decaying exponentially over a second; an attempt in
 *     flight for too long, sent since the zone's last answer, is included as a failure
 * @param recentFailures failures among them
 * @param failureExcess cumulative sum (Page, 1954) of failures against answers: a failure adds 1,
 *     an error half, an answer takes 1 off, never below 0; it decays over 5 s, and attempts in
 *     flight for too long count as above
 * @param listedEndpoints endpoints of the zone in the list
 * @param observedEndpoints endpoints at which an attempt ended in the last seconds, that are new,
 *     or that have an attempt in flight for too long
 * @param failingEndpoints observed endpoints whose last attempt failed
 * @param unresponsiveEndpoints observed endpoints that did not answer it at all
 * @param slowStartEndpoints endpoints of the zone in slow start, as far as is known
 * @param endpointFraction the zone's fraction of all endpoints in the list, 0 to 1
 * @param totalAttempts attempts that ever ended
 * @param totalFailures attempts that ever failed
 * @param lastAnswerNanos when an endpoint last answered, if only with an error; the start of the
 *     node if none did
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

package edgegateway.policy.api;

/**
 * What a gateway's attempts met in a zone. Turned away for want of room is not missed: a load too
 * high is no zone's fault.
 *
 * @param recentAttempts attempts that ended, fading over a second
 * @param recentFailures those of them that met an error, no answer in time, no connection or a
 *     broken one
 * @param failureExcess by how much misses outweigh answers since they last did not, an error by
 *     half, fading over 5 s (Page's cumulative sum, 1954); what is out for far too long, with no
 *     answer of the zone since, counts as missed
 * @param endpoints its servers on the list
 * @param observedEndpoints those at which an attempt ended in the last seconds, or that are new
 * @param failingEndpoints those of them whose last attempt missed
 * @param unresponsiveEndpoints those of them that did not answer it at all
 * @param warmingEndpoints those of its servers that are cold as far as is told
 * @param endpointFraction its part of all servers on the list
 * @param totalAttempts all that ever ended
 * @param totalFailures all that ever missed
 * @param lastAnswerNanos when anything was last answered, if only by an error
 */
public record ZoneHealth(
    int zone,
    double recentAttempts,
    double recentFailures,
    double failureExcess,
    int endpoints,
    int observedEndpoints,
    int failingEndpoints,
    int unresponsiveEndpoints,
    int warmingEndpoints,
    double endpointFraction,
    long totalAttempts,
    long totalFailures,
    long lastAnswerNanos) {}

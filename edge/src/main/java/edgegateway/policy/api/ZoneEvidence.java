package edgegateway.policy.api;

/**
 * What a gateway's attempts met in a zone. Turned away for want of room is not missed: a load too
 * high is no zone's fault.
 *
 * @param ended attempts that ended, fading over a second
 * @param missed those of them that met an error, no answer in time, no connection or a broken one
 * @param excess by how much misses outweigh answers since they last did not, an error by half,
 *     fading over 5 s (Page's cumulative sum, 1954); what is out for far too long, with no answer
 *     of the zone since, counts as missed
 * @param servers its servers on the list
 * @param heard those at which an attempt ended in the last seconds, or that are new
 * @param bad those of them whose last attempt missed
 * @param silent those of them that did not answer it at all
 * @param cold those of its servers that are cold as far as is told
 * @param share its part of all servers on the list
 * @param attempts all that ever ended
 * @param misses all that ever missed
 * @param answered when anything was last answered, if only by an error
 */
public record ZoneEvidence(
    int zone,
    double ended,
    double missed,
    double excess,
    int servers,
    int heard,
    int bad,
    int silent,
    int cold,
    double share,
    long attempts,
    long misses,
    long answered) {}

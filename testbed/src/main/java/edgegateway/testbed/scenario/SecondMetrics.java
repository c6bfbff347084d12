package edgegateway.testbed.scenario;

import java.util.Map;

/**
 * What came of the requests that arrived in one second of a play.
 *
 * @param asked how many arrived
 * @param worth the worth asked for
 * @param good the worth answered within its aim
 * @param possible the worth that the archive servers that ran could have served in this second, the
 *     dearest first
 * @param p50Ms median time of those served, in milliseconds; 0 if none was
 * @param p99Ms their 99th percentile
 * @param reached the share of the archive servers that attempts reached in this second
 * @param capacity what the archive servers that ran could do in this second, as a share of what all
 *     can do warm
 * @param attempts attempts that reached archive servers in this second, by zone
 */
public record SecondMetrics(
    int asked,
    double worth,
    double good,
    double possible,
    int served,
    int refused,
    double p50Ms,
    double p99Ms,
    double reached,
    double capacity,
    Map<String, Integer> attempts) {}

package edgegateway.policy.api;

import java.util.List;

/**
 * How an attempt ended.
 *
 * @param requestId id of the request
 * @param outcome how it ended; never null
 * @param durationNanos from the start of the attempt to its end, nanoseconds, at least 0
 * @param endpointId id of the endpoint that it was sent to
 * @param requestComplete true if the client has its final answer, by this outcome or before, and
 *     the policy must not answer any more
 * @param attemptIndex number of the attempt within its request, from 0
 * @param actualUnits quota units that the request took in fact, in place of {@link Request#units};
 *     0 if unknown
 * @param loadReport values of the endpoint's load report, in the order of {@link
 *     PolicySettings#loadReportNames}; empty if there was none
 */
public record AttemptResult(
    String requestId,
    Outcome outcome,
    long durationNanos,
    String endpointId,
    boolean requestComplete,
    int attemptIndex,
    double actualUnits,
    List<Double> loadReport) {}

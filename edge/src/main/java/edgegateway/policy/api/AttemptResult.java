package edgegateway.policy.api;

import java.util.List;

/**
 * The result of an attempt.
 *
 * @param requestId id of the request
 * @param outcome how the attempt ended; never null
 * @param durationNanos duration of the attempt in nanoseconds, at least 0
 * @param endpointId id of the endpoint that the attempt was sent to
 * @param requestComplete true if the client has its final response, from this attempt or from the
 *     host, so that the policy must not send another one
 * @param attemptIndex index of the attempt within its request, from 0
 * @param actualUnits quota units that the request actually used, which replace {@link
 *     Request#units}; 0 if unknown
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

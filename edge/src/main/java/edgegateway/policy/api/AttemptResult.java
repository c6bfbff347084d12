package edgegateway.policy.api;

import java.util.List;

/**
 * The end of an attempt.
 *
 * @param durationNanos the span since it was sent
 * @param requestComplete nothing more is owed for the request
 * @param trueUnits the units that take the place of the guess; 0 if not told
 * @param loadReport the server's load report; empty if none
 */
public record AttemptResult(
    String requestId,
    Outcome outcome,
    long durationNanos,
    String endpointId,
    boolean requestComplete,
    int attemptIndex,
    double trueUnits,
    List<Double> loadReport) {}

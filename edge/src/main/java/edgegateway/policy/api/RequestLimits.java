package edgegateway.policy.api;

/**
 * Limits that the settings place on a node.
 *
 * @param maxAttempts attempts of one request, the first included
 * @param maxInFlight requests that a node may hold at once
 * @param healthChecksAllowed whether {@link PolicyActions#healthCheck} may be asked for
 * @param retryAfterAllowed whether clients get a Retry-After
 * @param maxRetryAfterNanos the longest such advice that clients follow, nanoseconds
 * @param subscribesToEndpoints whether changes of the endpoint list must be subscribed to
 */
public record RequestLimits(
    int maxAttempts,
    int maxInFlight,
    boolean healthChecksAllowed,
    boolean retryAfterAllowed,
    long maxRetryAfterNanos,
    boolean subscribesToEndpoints) {}

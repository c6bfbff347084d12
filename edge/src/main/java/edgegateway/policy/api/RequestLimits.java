package edgegateway.policy.api;

/**
 * Limits on the requests of a node.
 *
 * @param maxAttempts maximum number of attempts of one request, including the first
 * @param maxInFlight maximum number of requests that a node may hold at once
 * @param healthChecksAllowed whether {@link PolicyActions#healthCheck} may be called
 * @param retryAfterAllowed whether rejected clients get a Retry-After
 * @param maxRetryAfterNanos the longest Retry-After that clients follow, in nanoseconds
 * @param subscribesToEndpoints whether the policy must subscribe to changes of the endpoint list
 */
public record RequestLimits(
    int maxAttempts,
    int maxInFlight,
    boolean healthChecksAllowed,
    boolean retryAfterAllowed,
    long maxRetryAfterNanos,
    boolean subscribesToEndpoints) {}

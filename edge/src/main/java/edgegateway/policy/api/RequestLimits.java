package edgegateway.policy.api;

/**
 * What the site allows.
 *
 * @param maxAttempts most attempts of one request
 * @param maxInFlight most requests an instance may hold
 * @param healthChecksAllowed whether servers may be probed
 * @param retryAfterAllowed whether clients are told how long to stay away
 * @param maxRetryAfterNanos the longest that a client heeds
 * @param subscribesToEndpoints whether changes of the list must be subscribed to
 */
public record RequestLimits(
    int maxAttempts,
    int maxInFlight,
    boolean healthChecksAllowed,
    boolean retryAfterAllowed,
    long maxRetryAfterNanos,
    boolean subscribesToEndpoints) {}

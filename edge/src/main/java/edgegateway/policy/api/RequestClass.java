package edgegateway.policy.api;

/**
 * A request class.
 *
 * @param latencyObjectiveNanos an answer within this time earns its full value, in nanoseconds
 * @param clientTimeoutNanos how long a client waits over all its attempts, in nanoseconds
 * @param idempotency whether requests may be executed more than once
 * @param deduplicationScope which endpoints recognize a repeated idempotency key, for {@link
 *     Idempotency#KEYED}
 * @param idempotencyKeyWindowNanos how long these endpoints recognize a key, in nanoseconds from
 *     the start of the first attempt that may have been executed
 * @param lateValueFraction fraction of its value, 0 to 1, that an answer after the latency
 *     objective and before the deadline earns
 * @param priorityWeight value of a request with {@link QuotaPlan#priorityFactor} 1
 */
public record RequestClass(
    long latencyObjectiveNanos,
    long clientTimeoutNanos,
    Idempotency idempotency,
    DeduplicationScope deduplicationScope,
    long idempotencyKeyWindowNanos,
    double lateValueFraction,
    double priorityWeight) {}

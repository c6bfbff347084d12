package edgegateway.policy.api;

/**
 * A request class.
 *
 * @param latencyObjectiveNanos an answer within this time earns the full value, nanoseconds
 * @param clientTimeoutNanos how long a client waits over all its attempts, nanoseconds
 * @param idempotency whether requests may be executed more than once
 * @param deduplicationScope which endpoints drop repeats, for {@link Idempotency#KEYED}
 * @param idempotencyKeyWindowNanos for how long they do, in nanoseconds from the start of the first
 *     attempt that may have been executed
 * @param lateValueFraction fraction of its value, 0 to 1, that an answer after the objective and
 *     before the deadline earns
 * @param priorityWeight value of one request of price 1
 */
public record RequestClass(
    long latencyObjectiveNanos,
    long clientTimeoutNanos,
    Idempotency idempotency,
    DeduplicationScope deduplicationScope,
    long idempotencyKeyWindowNanos,
    double lateValueFraction,
    double priorityWeight) {}

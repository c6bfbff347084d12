package edgegateway.policy.api;

/**
 * A class of requests.
 *
 * @param latencyObjectiveNanos an answer within this span is worth all
 * @param deadlineNanos how long a client waits over all its tries
 * @param idempotency how it may be repeated
 * @param deduplicationScope which servers drop repeats, if keyed
 * @param idempotencyKeyWindowNanos for how long they do, from the first attempt that may have run
 * @param lateValueFraction the part of the worth that an answer after the aim earns
 * @param priorityWeight the worth of one request
 */
public record RequestClass(
    long latencyObjectiveNanos,
    long deadlineNanos,
    Idempotency idempotency,
    DeduplicationScope deduplicationScope,
    long idempotencyKeyWindowNanos,
    double lateValueFraction,
    double priorityWeight) {}

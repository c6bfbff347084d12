package edgegateway.policy.api;

/**
 * Guarantees and limits of the platform that the archive servers run on.
 *
 * @param deadlineGraceNanos how long after the deadline a final answer still counts, in nanoseconds
 * @param slowStartInitialFraction minimum fraction of its full capacity, 0 to 1, that an endpoint
 *     has right after its start
 * @param slowStartNanos time from its start until an endpoint has its full capacity, in nanoseconds
 * @param overloadFactor an endpoint in slow start fails if it is sent more than this many times its
 *     present capacity for {@code overloadDurationNanos}
 * @param overloadDurationNanos how long an endpoint in slow start withstands such an overload, in
 *     nanoseconds
 */
public record PlatformRules(
    long deadlineGraceNanos,
    double slowStartInitialFraction,
    long slowStartNanos,
    double overloadFactor,
    long overloadDurationNanos) {}

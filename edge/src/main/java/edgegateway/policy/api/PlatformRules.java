package edgegateway.policy.api;

/**
 * Guarantees and limits of the platform that the archive servers run on.
 *
 * @param deadlineGraceNanos how long after the deadline a final answer still counts, in nanoseconds
 * @param slowStartInitialFraction fraction of its capacity, 0 to 1, that an endpoint has at least
 *     when it starts
 * @param slowStartNanos time from its start, in nanoseconds, after which it has all of it
 * @param overloadFactor an endpoint in slow start fails if it is sent more than this many times its
 *     present capacity
 * @param overloadDurationNanos for this long, in nanoseconds
 */
public record PlatformRules(
    long deadlineGraceNanos,
    double slowStartInitialFraction,
    long slowStartNanos,
    double overloadFactor,
    long overloadDurationNanos) {}

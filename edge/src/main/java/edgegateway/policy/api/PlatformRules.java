package edgegateway.policy.api;

/**
 * The figures of the rules.
 *
 * @param answerSlackNanos how long after the deadline a final answer still counts
 * @param slowStartInitialFraction a server starts with this part of its capacity or more
 * @param slowStartNanos and is warm after this
 * @param overloadFactor sent more than this many times its present capacity
 * @param overloadNanos for this long, it falls over
 */
public record PlatformRules(
    long answerSlackNanos,
    double slowStartInitialFraction,
    long slowStartNanos,
    double overloadFactor,
    long overloadNanos) {}

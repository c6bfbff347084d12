package edgegateway.policy.api;

/**
 * Settings of the shared quota counter.
 *
 * @param configured whether there is a counter; if not, quotas are divided among the nodes
 * @param timeoutNanos time after which an unanswered call ends with {@link Outcome#TIMEOUT}, in
 *     nanoseconds
 * @param reportsActualUnits whether {@link AttemptResult#actualUnits} is reported, so that {@link
 *     Request#units} is only an estimate
 * @param maxRequestUnits quota units of the largest possible request
 */
public record CounterSettings(
    boolean configured, long timeoutNanos, boolean reportsActualUnits, double maxRequestUnits) {}

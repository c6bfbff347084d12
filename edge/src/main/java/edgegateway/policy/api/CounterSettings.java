package edgegateway.policy.api;

/**
 * Settings of the shared quota counter.
 *
 * @param configured whether there is a counter; if not, quotas are divided over the nodes
 * @param timeoutNanos after this time, in nanoseconds, a call without an answer ends as {@link
 *     Outcome#TIMEOUT}
 * @param reportsActualUnits whether {@link AttemptResult#actualUnits} is given, so that {@link
 *     Request#units} is only an estimate
 * @param maxRequestUnits quota units of the largest request
 */
public record CounterSettings(
    boolean configured, long timeoutNanos, boolean reportsActualUnits, double maxRequestUnits) {}

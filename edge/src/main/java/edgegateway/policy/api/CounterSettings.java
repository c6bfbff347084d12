package edgegateway.policy.api;

/**
 * The shared quota counter.
 *
 * @param present whether there is one
 * @param timeoutNanos a call without an answer by then ends as {@link Outcome#TIMEOUT}
 * @param reportsTrueUnits whether answers tell the true units
 * @param maxRequestUnits the largest request, in units
 */
public record CounterSettings(
    boolean present, long timeoutNanos, boolean reportsTrueUnits, double maxRequestUnits) {}

package edgegateway.policy.quota;

/**
 * A call to the shared counter that has not ended.
 *
 * @param quota the quota whose usage it reports
 * @param window the number of the counting window that it adds to
 * @param units the units that it adds
 * @param reservation the request that waits for the reply; null if none does
 * @param sentAtNanos when it was sent
 */
record CounterCall(
    CustomerQuota quota,
    long window,
    double units,
    QuotaReservation reservation,
    long sentAtNanos) {}

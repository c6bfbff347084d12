package edgegateway.policy.quota;

/**
 * A call to the shared counter that has not ended.
 *
 * @param quota the quota whose usage the call reports
 * @param window the number of the counting window whose counter the call adds to
 * @param units the units that the call adds; negative if more were given back than used
 * @param reservation the reservation of the request that waits for the reply; null if none waits
 * @param sentAtNanos when the call was sent
 */
record CounterCall(
    CustomerQuota quota,
    long window,
    double units,
    QuotaReservation reservation,
    long sentAtNanos) {}

package edgegateway.policy.quota;

/** The decision of a quota on a request. */
public enum QuotaDecision {
  /** The request may be queued, within the quota or over it. */
  ADMITTED,
  /** The request must be rejected; see {@link QuotaReservation#retryAfterSeconds()}. */
  REJECTED,
  /** The shared counter was called; the decision follows with its reply or after the timeout. */
  AWAITING_COUNTER
}

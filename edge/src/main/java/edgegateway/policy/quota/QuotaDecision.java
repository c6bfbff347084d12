package edgegateway.policy.quota;

/** What the quota decided on a request. */
public enum QuotaDecision {
  /** The request may be queued, within the quota or over it. */
  ADMITTED,
  /** The request must be rejected; see {@link QuotaReservation#retryAfterSeconds()}. */
  REJECTED,
  /** The shared counter was asked; the decision follows with its reply or its timeout. */
  AWAITING_COUNTER
}

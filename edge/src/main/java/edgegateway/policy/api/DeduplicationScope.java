package edgegateway.policy.api;

/** Which endpoints recognize a repeated idempotency key and do not execute the request again. */
public enum DeduplicationScope {
  /** All endpoints. */
  ALL,
  /** The endpoints in the zone of the first attempt that may have been executed. */
  ZONE,
  /** The endpoints in the cell of the first attempt that may have been executed. */
  CELL
}

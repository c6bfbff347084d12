package edgegateway.policy.api;

/** Which endpoints recognize a repeated idempotency key and drop the repeat. */
public enum DeduplicationScope {
  /** All endpoints. */
  ALL,
  /** Those in the zone of the first attempt that may have been executed. */
  ZONE,
  /** Those in the cell of the first attempt that may have been executed. */
  CELL
}

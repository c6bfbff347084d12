package edgegateway.policy.api;

/** The servers that drop repeats of a {@link Idempotency#KEYED} request. */
public enum DeduplicationScope {
  /** Every server. */
  ALL,
  /** The servers of the zone first sent to. */
  ZONE,
  /** The servers of the cell first sent to. */
  CELL
}

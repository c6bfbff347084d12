package edgegateway.policy.api;

/** Whether a request of a class may be executed more than once. */
public enum Idempotency {
  /** Idempotent: may be retried freely. */
  IDEMPOTENT,
  /**
   * Has an idempotency key: the endpoints of its {@link DeduplicationScope} do not execute a
   * request with the same key again for {@link RequestClass#idempotencyKeyWindowNanos}.
   */
  KEYED,
  /** Must not be retried once an attempt may have been executed. */
  NOT_IDEMPOTENT
}

package edgegateway.policy.api;

/** Whether a request of a class may be executed more than once. */
public enum Idempotency {
  /** Idempotent: may be retried freely. */
  IDEMPOTENT,
  /**
   * Carries an idempotency key: the endpoints of its {@link DeduplicationScope} drop repeats for
   * {@link RequestClass#idempotencyKeyWindowNanos}.
   */
  KEYED,
  /** Must not be sent again once an attempt may have been executed. */
  NOT_IDEMPOTENT
}

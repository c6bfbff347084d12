package edgegateway.policy.scheduling;

/** A limit, outside the fair queue, on which requests may be sent at once. */
public interface SendPermit {
  /** Whether one more request may be sent now. */
  boolean hasCapacity();

  /** Counts a request that is sent for the first time. */
  void acquire();

  /** Counts the end of a request that was sent. */
  void release();
}

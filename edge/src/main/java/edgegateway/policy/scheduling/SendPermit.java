package edgegateway.policy.scheduling;

/**
 * A limit on concurrent requests, such as a customer's concurrency cap. The fair queue skips a
 * waiting request whose permit has no capacity.
 */
public interface SendPermit {
  /** Whether one more request may be sent now. */
  boolean hasCapacity();

  /** Counts a request whose first attempt is sent. */
  void acquire();

  /** Stops counting a request that has ended, for which {@link #acquire} was called. */
  void release();
}

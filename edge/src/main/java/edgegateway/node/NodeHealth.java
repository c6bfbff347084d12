package edgegateway.node;

/** Readiness and health of this process. All methods may be called on any thread. */
interface NodeHealth {
  /**
   * Whether this process takes clients: it was admitted, a first message from discovery has arrived
   * or the wait for it has timed out so that the cached endpoint list is used, and the process is
   * not draining.
   */
  boolean ready();

  /**
   * The result of the load balancer's health check. For the load balancer, this process and its
   * successor in an upgrade are one node: while the successor takes clients, this process stays
   * healthy although it is draining.
   */
  boolean healthy();
}

package edgegateway.node;

/** Whether this process takes clients. All methods may be called on any thread. */
interface NodeHealth {
  /**
   * Whether this process takes clients: it was admitted, discovery was heard or silent for so long
   * that the known list must do, and nothing drains it.
   */
  boolean ready();

  /**
   * The answer to the load balancer's health check. The load balancer sees one node, be that this
   * process or its successor in an upgrade: while the successor takes clients, the process that
   * ends stays healthy.
   */
  boolean healthy();
}

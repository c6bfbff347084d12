package edgegateway.node.connections;

/**
 * An attempt that waits for a connection. Exactly one of the two methods is called, once, possibly
 * from within {@link Upstream#acquire}; neither is called after {@link Upstream#cancel} returned
 * true.
 */
public interface ConnectionWaiter {
  /** Assigns a connection to this attempt until it is released, has responded or is closed. */
  void connectionReady(UpstreamConnection connection);

  /**
   * Reports that no connection is available.
   *
   * @param localCause true if the cause is on this node, not at the archive server
   */
  void noConnection(boolean localCause);
}

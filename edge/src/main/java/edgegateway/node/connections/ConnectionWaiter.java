package edgegateway.node.connections;

/**
 * An attempt that needs a connection. One of its methods is called exactly once, possibly from
 * within {@link Upstream#acquire}, unless {@link Upstream#cancel} returned true before.
 */
public interface ConnectionWaiter {
  /** The connection is this attempt's until it is released, has responded or is closed. */
  void connectionReady(UpstreamConnection connection);

  /**
   * There is no connection for it.
   *
   * @param localCause true if that is not the archive server's fault
   */
  void noConnection(boolean localCause);
}

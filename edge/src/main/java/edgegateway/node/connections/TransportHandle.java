package edgegateway.node.connections;

/** What carries a connection's bytes. */
public interface TransportHandle {
  /** Ends it at once. */
  void close();
}

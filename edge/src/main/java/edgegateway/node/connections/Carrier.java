package edgegateway.node.connections;

/** What carries a connection's bytes. */
public interface Carrier {
  /** Ends it at once. */
  void close();
}

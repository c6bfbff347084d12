package edgegateway.node.connections;

/** The socket of a connection, as the connection tables see it. */
public interface TransportHandle {
  /** Closes it at once. */
  void close();
}

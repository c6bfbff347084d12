package edgegateway.node.connections;

/** The socket of a connection, as used by the connection tables. */
public interface TransportHandle {
  /** Closes the socket immediately. */
  void close();
}

package edgegateway.node.connections;

/** The socket of a connection, as used by the connection tables. */
public interface TransportHandle {
  /** Closes the socket immediately. */
  void close();

  /** The size of the kernel's send buffer in bytes; 0 if it is not known. */
  default int sendBufferBytes() {
    return 0;
  }
}

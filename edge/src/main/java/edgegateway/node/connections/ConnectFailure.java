package edgegateway.node.connections;

/** Why a connection to an archive server could not be opened. */
public enum ConnectFailure {
  /** The archive server, or its machine, refused it. */
  REFUSED,
  /** Nothing came back before the connect timeout. */
  UNRESPONSIVE,
  /** This process had no file descriptor for it: not the archive server's fault. */
  NO_DESCRIPTOR
}

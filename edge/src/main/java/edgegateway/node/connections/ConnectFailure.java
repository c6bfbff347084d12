package edgegateway.node.connections;

/** Why a connection to an archive server could not be opened. */
public enum ConnectFailure {
  /** The archive server or its host refused the connection. */
  REFUSED,
  /** No reply arrived before the connect timeout. */
  UNRESPONSIVE,
  /** This process has no file descriptor left; not the archive server's fault. */
  NO_DESCRIPTOR
}

package edgegateway.node.connections;

import static org.junit.jupiter.api.Assertions.assertNull;

/** A waiter that records its result, and fails if it gets more than one. */
class RecordingWaiter implements ConnectionWaiter {
  /** The assigned connection; null if none was assigned. */
  UpstreamConnection connection;

  /** The argument of {@link #noConnection}; null if it was not called. */
  Boolean localCause;

  @Override
  public void connectionReady(UpstreamConnection ready) {
    assertNull(connection, "a second connection");
    assertNull(localCause, "a connection after noConnection");
    connection = ready;
  }

  @Override
  public void noConnection(boolean isLocalCause) {
    assertNull(connection, "noConnection after a connection");
    assertNull(localCause, "a second noConnection");
    localCause = isLocalCause;
  }

  boolean isWaiting() {
    return connection == null && localCause == null;
  }
}

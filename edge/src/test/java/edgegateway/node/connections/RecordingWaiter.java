package edgegateway.node.connections;

import static org.junit.jupiter.api.Assertions.assertNull;

/** An attempt that records what it was told, and fails if that is more than one thing. */
class RecordingWaiter implements ConnectionWaiter {
  /** Null until it got one. */
  UpstreamConnection connection;

  /** Null unless it was told that there is no connection. */
  Boolean localCause;

  @Override
  public void connectionReady(UpstreamConnection ready) {
    assertNull(connection, "two connections");
    assertNull(localCause, "a connection after a refusal");
    connection = ready;
  }

  @Override
  public void noConnection(boolean isLocalCause) {
    assertNull(connection, "a refusal after a connection");
    assertNull(localCause, "two refusals");
    localCause = isLocalCause;
  }

  boolean isWaiting() {
    return connection == null && localCause == null;
  }
}

package edgegateway.node.upstream;

import edgegateway.node.connections.Upstream;
import edgegateway.policy.api.EndpointState;
import edgegateway.protocol.EndpointEntry;

/** An entry of the endpoint list and its connection pool. */
record ListedEndpoint(EndpointEntry entry, Upstream upstream) {
  /**
   * Whether the pool remains valid after an update to this entry: the endpoint has not moved or
   * restarted, and has not become ready or stopped being ready.
   */
  boolean canKeepConnections(EndpointEntry newEntry) {
    return entry.address().equals(newEntry.address())
        && entry.endpoint().startedAtNanos() == newEntry.endpoint().startedAtNanos()
        && isReady() == (newEntry.endpoint().state() == EndpointState.READY);
  }

  boolean isReady() {
    return entry.endpoint().state() == EndpointState.READY;
  }
}

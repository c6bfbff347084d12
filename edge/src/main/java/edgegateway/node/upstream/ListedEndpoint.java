package edgegateway.node.upstream;

import edgegateway.node.connections.Upstream;
import edgegateway.policy.api.EndpointState;
import edgegateway.protocol.EndpointEntry;

/** An entry of the endpoint list, and the connections to it. */
record ListedEndpoint(EndpointEntry entry, Upstream upstream) {
  /** Whether its connections stay of use by the new entry: it has not moved or restarted. */
  boolean hasSameConnections(EndpointEntry newEntry) {
    return entry.address().equals(newEntry.address())
        && entry.endpoint().startedAtNanos() == newEntry.endpoint().startedAtNanos()
        && isReady() == (newEntry.endpoint().state() == EndpointState.READY);
  }

  boolean isReady() {
    return entry.endpoint().state() == EndpointState.READY;
  }
}

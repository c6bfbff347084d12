package edgegateway.node.discovery;

import edgegateway.policy.api.EndpointListKind;
import edgegateway.protocol.EndpointList;

/** What discovery tells the node. All methods are for the event loop's thread. */
public interface EndpointListListener {
  /** A list, or changes to it, that is newer than the one held. */
  void endpointListReceived(EndpointList list, EndpointListKind kind);

  /** No file descriptor was left for a connection to discovery. */
  void descriptorsExhausted();
}

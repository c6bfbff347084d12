package edgegateway.node.discovery;

import edgegateway.node.config.NodeConfig;
import edgegateway.policy.api.EndpointListKind;

/** What discovery tells the node. All methods are for the event loop's thread. */
public interface EndpointListListener {
  /** A list, or changes to it, that is newer than the one held. */
  void endpointListReceived(NodeConfig.EndpointList list, EndpointListKind kind);

  /** No file descriptor was left for a connection to discovery. */
  void descriptorsExhausted();
}

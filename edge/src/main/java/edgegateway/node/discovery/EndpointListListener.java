package edgegateway.node.discovery;

import edgegateway.policy.api.EndpointListKind;
import edgegateway.protocol.EndpointList;

/** Receives endpoint lists from discovery. All methods are called on the event loop. */
public interface EndpointListListener {
  /**
   * A complete list or a set of changes was received. Its revision is not lower than that of the
   * current list, unless discovery has restarted its revision numbers.
   */
  void endpointListReceived(EndpointList list, EndpointListKind kind);

  /** A connection to discovery could not be opened for lack of a file descriptor. */
  void descriptorsExhausted();
}

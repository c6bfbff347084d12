package edgegateway.policy.api;

/** What the list says of a server. */
public enum EndpointState {
  REMOVED,
  READY,
  DRAINING
}

package edgegateway.policy.api;

/** State of an endpoint in the endpoint list. */
public enum EndpointState {
  /** No longer there; appears only among changes. */
  REMOVED,
  /** Takes new requests. */
  READY,
  /** Completes what it has; must get no new requests. */
  DRAINING
}

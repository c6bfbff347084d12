package edgegateway.policy.api;

/** State of an endpoint in the endpoint list. */
public enum EndpointState {
  /** No longer in the list; used only in {@link EndpointListKind#DELTA} updates. */
  REMOVED,
  /** Accepts new requests. */
  READY,
  /** Completes its requests in flight; must not be sent new ones. */
  DRAINING
}

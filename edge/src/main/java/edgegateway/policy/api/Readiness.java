package edgegateway.policy.api;

/** What the list says of a server. */
public enum Readiness {
  GONE,
  READY,
  DRAINING
}

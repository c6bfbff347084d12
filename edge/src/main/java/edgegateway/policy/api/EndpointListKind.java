package edgegateway.policy.api;

/** What an update of the endpoint list holds. */
public enum EndpointListKind {
  /** The complete list; what it lacks is removed. */
  FULL,
  /** The complete list as it was saved before this start; it may be stale. */
  CACHED,
  /** Changed entries only. */
  DELTA,
  /** No entries: the request or the watch failed, and the list stays as it was. */
  FAILED
}

package edgegateway.policy.api;

/** The kind of an update of the endpoint list. */
public enum EndpointListKind {
  /** The complete list; endpoints that are not in it are removed. */
  FULL,
  /** The complete list as saved before this process started; it may be stale. */
  CACHED,
  /** The changed entries only. */
  DELTA,
  /** No entries: the request or the watch failed, and the list is unchanged. */
  FAILED
}

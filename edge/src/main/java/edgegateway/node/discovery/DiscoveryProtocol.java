package edgegateway.node.discovery;

/** Constants of the discovery protocol, in which a watch is one chunked HTTP/1.1 response. */
final class DiscoveryProtocol {
  static final String HOST = "discovery";

  /** Response status of an accepted watch. */
  static final int OK = 200;

  /**
   * Allows a complete list of about 14,000 entries, which still fits into the heap beside the
   * node's other data (docs/design/discovery.md).
   */
  static final int MAX_OBJECT_BYTES = 2 * 1024 * 1024;

  private static final String WATCH_URI = "/catalog/members?watch=1&after=";

  private DiscoveryProtocol() {}

  /** The URI of a watch for the changes after a revision. */
  static String watchUri(long revision) {
    return WATCH_URI + revision;
  }
}

package edgegateway.node.discovery;

/** Names and bounds of discovery's protocol: a watch is one chunked HTTP/1.1 response. */
final class DiscoveryProtocol {
  static final String HOST = "discovery";

  /** The status of a watch that was opened. */
  static final int OK = 200;

  /**
   * A complete list of some 14,000 entries; the heap bears that beside what it holds already
   * (docs/design/discovery.md).
   */
  static final int MAX_OBJECT_BYTES = 2 * 1024 * 1024;

  private static final String WATCH_URI = "/catalog/members?watch=1&after=";

  private DiscoveryProtocol() {}

  /** The URI of a watch for what comes after a revision. */
  static String watchUri(long revision) {
    return WATCH_URI + revision;
  }
}

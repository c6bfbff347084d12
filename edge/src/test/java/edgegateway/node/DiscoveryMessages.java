package edgegateway.node;

import java.nio.charset.StandardCharsets;

/** Parts of discovery's HTTP responses. */
final class DiscoveryMessages {
  /** The head of the response to a watch; the member lists follow as chunks. */
  static final String WATCH_RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private DiscoveryMessages() {}

  /** A line of the watch with the members in JSON. */
  static String list(long revision, boolean complete, String... members) {
    return "{\"revision\":"
        + revision
        + ",\"complete\":"
        + complete
        + ",\"members\":["
        + String.join(",", members)
        + "]}\n";
  }

  /** The text as a chunk of the chunked transfer coding. */
  static String chunk(String text) {
    return Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length)
        + "\r\n"
        + text
        + "\r\n";
  }
}

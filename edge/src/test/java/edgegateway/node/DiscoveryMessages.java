package edgegateway.node;

import java.nio.charset.StandardCharsets;

/** What discovery sends, as bytes of HTTP. */
final class DiscoveryMessages {
  /** The head of a watch's response; chunks follow. */
  static final String WATCH = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private DiscoveryMessages() {}

  static String list(long revision, boolean complete, String... members) {
    return "{\"revision\":"
        + revision
        + ",\"complete\":"
        + complete
        + ",\"members\":["
        + String.join(",", members)
        + "]}\n";
  }

  static String chunk(String text) {
    return Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length)
        + "\r\n"
        + text
        + "\r\n";
  }
}

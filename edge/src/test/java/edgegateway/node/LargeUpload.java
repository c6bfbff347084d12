package edgegateway.node;

import edgegateway.node.SlowResponse.Framing;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Map;

/**
 * A large request that its server reads slowly.
 *
 * @param framing of the body: its length or in chunks
 * @param bytesPerSecond how fast the server reads
 * @param maxBytes where the server stops reading
 * @param waitMillis how long the client waits, from its last byte
 */
record LargeUpload(Framing framing, int bytes, int bytesPerSecond, int maxBytes, int waitMillis) {
  /** The parameter of the path that tells a {@link SlowServer} how to read the request. */
  String parameter() {
    return "read=" + bytesPerSecond + "," + maxBytes;
  }

  /** Writes the request; returns when the last byte is written. */
  void send(OutputStream out, Map<String, String> headers) throws IOException {
    send(out, headers, "/api?" + parameter());
  }

  /** Writes the request with a path of its own. */
  void send(OutputStream out, Map<String, String> headers, String path) throws IOException {
    boolean chunked = framing == Framing.CHUNKED;
    StringBuilder head = new StringBuilder("POST ").append(path).append(" HTTP/1.1\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append(chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + bytes);
    head.append(chunked ? "\r\n\r\n" + Integer.toHexString(bytes) + "\r\n" : "\r\n\r\n");
    SlowResponse.writeText(out, head.toString());
    out.write(new byte[bytes]);
    SlowResponse.writeText(out, chunked ? "\r\n0\r\n\r\n" : "");
  }
}

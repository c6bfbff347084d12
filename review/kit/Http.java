import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** A message of HTTP/1.1 and how to read one from a stream. */
final class Http {
  final String startLine;
  final Map<String, String> headers;
  byte[] body = new byte[0];

  private Http(String startLine, Map<String, String> headers) {
    this.startLine = startLine;
    this.headers = headers;
  }

  int status() {
    return Integer.parseInt(startLine.split(" ")[1]);
  }

  String method() {
    return startLine.split(" ")[0];
  }

  String target() {
    return startLine.split(" ")[1];
  }

  String header(String name) {
    return headers.get(name);
  }

  String text() {
    return new String(body, StandardCharsets.UTF_8);
  }

  boolean closes() {
    return "close".equalsIgnoreCase(headers.getOrDefault("Connection", ""));
  }

  /** Reads a whole message; null if the stream ends before its first byte. */
  static Http read(InputStream in) throws IOException {
    Http head = readHead(in);
    if (head != null) {
      head.body = readBody(in, head);
    }
    return head;
  }

  /** Reads a response and passes over interim ones (1xx). */
  static Http readResponse(InputStream in) throws IOException {
    Http response = read(in);
    while (response != null && response.status() / 100 == 1) {
      response = read(in);
    }
    return response;
  }

  static Http readHead(InputStream in) throws IOException {
    String first = readLine(in, true);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String line = readLine(in, false); !line.isEmpty(); line = readLine(in, false)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
    }
    return new Http(first, headers);
  }

  private static byte[] readBody(InputStream in, Http head) throws IOException {
    boolean response = head.startLine.startsWith("HTTP/");
    if (response && head.status() / 100 == 1) {
      return new byte[0];
    }
    if ("chunked".equalsIgnoreCase(head.header("Transfer-Encoding"))) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        int size = Integer.parseInt(readLine(in, false).split(";")[0].trim(), 16);
        if (size == 0) {
          while (!readLine(in, false).isEmpty()) {}
          return body.toByteArray();
        }
        body.write(readFully(in, size));
        readLine(in, false);
      }
    }
    if (head.header("Content-Length") != null) {
      return readFully(in, Integer.parseInt(head.header("Content-Length")));
    }
    return response ? in.readAllBytes() : new byte[0];
  }

  private static byte[] readFully(InputStream in, int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException("the message ended after " + bytes.length + " of " + size + " bytes");
    }
    return bytes;
  }

  private static String readLine(InputStream in, boolean mayEnd) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        if (mayEnd && line.size() == 0) {
          return null;
        }
        throw new EOFException("the stream ended within a line");
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  static byte[] response(int status, String headers, byte[] body) {
    String head = "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
    all.writeBytes(body);
    return all.toByteArray();
  }

  static byte[] response(int status, String body) {
    return response(status, "", body.getBytes(StandardCharsets.UTF_8));
  }
}

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a stream. */
final class Http {
  /** The first line, the header fields by lower-case name, and the body. */
  static final class Message {
    String first;
    final Map<String, String> headers = new TreeMap<>();
    byte[] body = new byte[0];

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }

    String method() {
      return first.split(" ")[0];
    }

    String target() {
      return first.split(" ")[1];
    }

    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  private Http() {}

  /** Returns null if the stream ends before the first byte; throws if it ends within the message. */
  static Message read(InputStream in, boolean response) throws IOException {
    Message message = head(in);
    while (message != null && response && message.status() < 200) {
      message = head(in);
    }
    if (message == null) {
      return null;
    }
    String length = message.header("content-length");
    if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
      message.body = chunks(in);
    } else if (length != null) {
      message.body = exactly(in, Integer.parseInt(length.trim()));
    } else if (response) {
      message.body = in.readAllBytes();
    }
    return message;
  }

  private static Message head(InputStream in) throws IOException {
    String first = line(in);
    if (first == null) {
      return null;
    }
    Message message = new Message();
    message.first = first;
    for (String line = line(in); ; line = line(in)) {
      if (line == null) {
        throw new EOFException("the head is not whole");
      }
      if (line.isEmpty()) {
        return message;
      }
      int colon = line.indexOf(':');
      message.headers.put(
          line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        if (bytes.size() > 0) {
          throw new EOFException("a line is not whole");
        }
        return null;
      }
      bytes.write(next);
    }
    String text = bytes.toString(StandardCharsets.ISO_8859_1);
    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
  }

  private static byte[] exactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("the body is not whole: " + bytes.length + " of " + length);
    }
    return bytes;
  }

  private static byte[] chunks(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      String size = line(in);
      if (size == null) {
        throw new EOFException("the body is not whole");
      }
      int length = Integer.parseInt(size.split(";")[0].trim(), 16);
      if (length == 0) {
        for (String trailer = line(in); trailer != null && !trailer.isEmpty(); ) {
          trailer = line(in);
        }
        return body.toByteArray();
      }
      body.write(exactly(in, length));
      line(in);
    }
  }
}

package edgegateway.node;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;

/**
 * A response that an archive server writes slowly, in pieces with a pause before each.
 *
 * @param bytes the length of the body
 * @param pieceBytes the length of each piece
 * @param firstPauseMillis the pause between the head and the first piece
 * @param pauseMillis the pause before each further piece
 */
record SlowResponse(
    Framing framing, int bytes, int pieceBytes, int firstPauseMillis, int pauseMillis) {
  private static final String PARAMETER = "slow=";
  private static final byte[] BODY = new byte[3_000_000];

  static {
    new Random(5).nextBytes(BODY);
  }

  /** How a client can tell where the body ends. */
  enum Framing {
    LENGTH,
    CHUNKED,
    CLOSE
  }

  /** The path of a request for this response. */
  String path() {
    return "/api?"
        + PARAMETER
        + String.join(
            ",",
            framing.name(),
            Integer.toString(bytes),
            Integer.toString(pieceBytes),
            Integer.toString(firstPauseMillis),
            Integer.toString(pauseMillis));
  }

  /** The response that a request line asks for by its {@link #path}; null if it does not. */
  static SlowResponse requestedBy(String startLine) {
    int start = startLine.indexOf(PARAMETER);
    if (start < 0) {
      return null;
    }
    String[] parts = startLine.substring(start + PARAMETER.length()).split("[ &]")[0].split(",");
    return new SlowResponse(
        Framing.valueOf(parts[0]),
        Integer.parseInt(parts[1]),
        Integer.parseInt(parts[2]),
        Integer.parseInt(parts[3]),
        Integer.parseInt(parts[4]));
  }

  /** Writes the response, and closes the connection if that ends the body. */
  void send(Socket socket) throws IOException, InterruptedException {
    writeText(socket.getOutputStream(), head());
    sendBody(socket);
  }

  private String head() {
    return "HTTP/1.1 200 OK\r\n" + framingHeader() + "\r\n\r\n";
  }

  /** Writes the head byte by byte, in the given time. */
  void sendHeadInPieces(Socket socket, int millis) throws IOException, InterruptedException {
    for (char c : head().toCharArray()) {
      writeText(socket.getOutputStream(), String.valueOf(c));
      Thread.sleep(millis / head().length());
    }
  }

  /** Writes the body, and closes the connection if that ends it. */
  void sendBody(Socket socket) throws IOException, InterruptedException {
    OutputStream out = socket.getOutputStream();
    for (int sent = 0; sent < bytes; sent += pieceBytes) {
      Thread.sleep(sent == 0 ? firstPauseMillis : pauseMillis);
      writePiece(out, sent, Math.min(pieceBytes, bytes - sent));
    }
    if (framing == Framing.CHUNKED) {
      writeText(out, "0\r\n\r\n");
    } else if (framing == Framing.CLOSE) {
      socket.close();
    }
  }

  private String framingHeader() {
    return switch (framing) {
      case LENGTH -> "Content-Length: " + bytes;
      case CHUNKED -> "Transfer-Encoding: chunked";
      case CLOSE -> "Connection: close";
    };
  }

  private void writePiece(OutputStream out, int offset, int length) throws IOException {
    boolean chunked = framing == Framing.CHUNKED;
    writeText(out, chunked ? Integer.toHexString(length) + "\r\n" : "");
    out.write(BODY, offset, length);
    writeText(out, chunked ? "\r\n" : "");
  }

  /** The complete body. */
  byte[] body() {
    return Arrays.copyOf(BODY, bytes);
  }

  /**
   * Reads the body of this response behind its head.
   *
   * @throws IOException if the connection ends before the body is complete
   */
  byte[] readBody(String head, InputStream in) throws IOException {
    byte[] body = head.contains("chunked") ? decodeChunked(in) : in.readNBytes(bytes);
    if (body.length < bytes) {
      throw new IOException("the body ended after " + body.length + " bytes");
    }
    return body;
  }

  static void writeText(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /**
   * Reads a chunked body.
   *
   * @throws IOException if the connection ends within it
   */
  static byte[] decodeChunked(InputStream in) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    while (true) {
      StringBuilder size = new StringBuilder();
      for (int b = in.read(); b != '\n'; b = in.read()) {
        if (b < 0) {
          throw new IOException("the body ended after " + out.size() + " bytes");
        }
        size.append((char) b);
      }
      int length = Integer.parseInt(size.toString().trim(), 16);
      out.write(in.readNBytes(length));
      in.readNBytes(2);
      if (length == 0) {
        return out.toByteArray();
      }
    }
  }
}

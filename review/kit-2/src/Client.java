import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

/** One client's connection to an edge node. */
final class Client implements Closeable {
  private static final AtomicLong NEXT_ID = new AtomicLong(new Random().nextLong() & 0xffff_ffff_ff00_0000L);

  final Socket socket = new Socket();
  final InputStream in;
  final OutputStream out;

  Client(String address) throws IOException {
    String[] parts = address.split(":");
    socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
    out = socket.getOutputStream();
  }

  static String newId() {
    return String.format("%016x", NEXT_ID.incrementAndGet());
  }

  /** The head of a request; a body is announced where there is a method with one. */
  static String head(
      String id, String qos, String plan, long customer, int deadlineMillis, int bodyBytes, int nodes) {
    boolean get = qos.equals("search");
    return (get ? "GET" : "POST") + " /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + id
        + "\r\nX-Qos: " + qos + "\r\nX-Plan: " + plan
        + "\r\nCookie: customer=" + String.format("%016x", customer)
        + "\r\nX-Expires-In-Ms: " + deadlineMillis
        + (qos.equals("license") ? "\r\nIdempotency-Key: key-" + id : "")
        + (get ? "" : "\r\nContent-Length: " + bodyBytes)
        + "\r\nX-Quota: units=1,spread=" + nodes + ",first=0\r\n\r\n";
  }

  void write(String text) throws IOException {
    write(text.getBytes(StandardCharsets.UTF_8));
  }

  void write(byte[] bytes) throws IOException {
    out.write(bytes);
    out.flush();
  }

  /** The answer; null if the connection ended before its first byte. */
  Http.Message answer() throws IOException {
    return Http.read(in, true);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** One client connection; sends one request at a time. */
final class Client implements AutoCloseable {
  private static final AtomicLong IDS = new AtomicLong(System.nanoTime() << 16);

  final Socket socket;
  final InputStream in;

  Client(int port) throws IOException {
    socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
  }

  static String newId() {
    return String.format("%016x", IDS.incrementAndGet());
  }

  static byte[] get(String id, String qos, String plan, long customer, long waitMillis) {
    return request("GET", id, qos, plan, customer, waitMillis, 1, 0, null, null);
  }

  static byte[] request(
      String method,
      String id,
      String qos,
      String plan,
      long customer,
      long waitMillis,
      int spread,
      int first,
      String key,
      byte[] body) {
    StringBuilder head = new StringBuilder();
    head.append(method).append(" /api HTTP/1.1\r\nHost: app.svc\r\n");
    head.append("X-Trace-Id: ").append(id).append("\r\n");
    head.append("X-Qos: ").append(qos).append("\r\n");
    head.append("X-Plan: ").append(plan).append("\r\n");
    head.append(String.format("Cookie: customer=%016x\r\n", customer));
    head.append("X-Expires-In-Ms: ").append(waitMillis).append("\r\n");
    head.append(String.format("X-Quota: units=1,spread=%d,first=%d\r\n", spread, first));
    if (key != null) {
      head.append("Idempotency-Key: ").append(key).append("\r\n");
    }
    if (body != null) {
      head.append("Content-Length: ").append(body.length).append("\r\n");
    }
    head.append("\r\n");
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    if (body != null) {
      all.writeBytes(body);
    }
    return all.toByteArray();
  }

  void send(byte[] request) throws IOException {
    socket.getOutputStream().write(request);
  }

  /** The final answer; null if the connection ended without one. */
  Http answer() throws IOException {
    return Http.readResponse(in);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}

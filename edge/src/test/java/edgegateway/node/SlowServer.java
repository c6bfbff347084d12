package edgegateway.node;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An archive server on loopback that reads each request, and writes each response, as slowly as the
 * request's path says: see {@link SlowResponse#path} and {@link LargeUpload#parameter}.
 */
final class SlowServer implements AutoCloseable {
  private static final Pattern ID = Pattern.compile("(?i)x-trace-id: (\\S+)");
  private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)content-length: (\\d+)");
  private static final Pattern READ = Pattern.compile("[?&]read=(\\d+),(\\d+)");

  private static final int PAUSES_PER_SECOND = 50;

  /** When the response to each request began, by id. */
  final Map<String, Long> begunNanos = new ConcurrentHashMap<>();

  private final ServerSocket listening = new ServerSocket();

  /**
   * Starts a server.
   *
   * @param receiveBufferBytes size of the kernel's buffer of each connection; 0 for its default
   */
  SlowServer(int receiveBufferBytes) throws IOException {
    if (receiveBufferBytes > 0) {
      listening.setReceiveBufferSize(receiveBufferBytes);
    }
    listening.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
    FakePeer.startDaemon(
        () -> {
          while (true) {
            Socket socket = listening.accept();
            FakePeer.startDaemon(() -> serve(socket));
          }
        });
  }

  String address() {
    return "127.0.0.1:" + listening.getLocalPort();
  }

  private void serve(Socket socket) throws IOException, InterruptedException {
    try (socket) {
      InputStream in = socket.getInputStream();
      for (String head = NodeTest.readHead(in); head != null; head = NodeTest.readHead(in)) {
        readBody(head, in);
        begunNanos.put(group(ID, head), System.nanoTime());
        SlowResponse response = SlowResponse.requestedBy(head);
        if (response == null) {
          SlowResponse.writeText(socket.getOutputStream(), FakePeer.ok("", "done"));
        } else {
          response.send(socket);
        }
      }
    }
  }

  private static String group(Pattern pattern, String head) {
    Matcher matcher = pattern.matcher(head);
    return matcher.find() ? matcher.group(1) : null;
  }

  private static void readBody(String head, InputStream in) throws IOException {
    Matcher limits = READ.matcher(head);
    InputStream body =
        limits.find()
            ? new SlowInput(in, Integer.parseInt(limits.group(1)), Long.parseLong(limits.group(2)))
            : in;
    String length = group(CONTENT_LENGTH, head);
    if (length != null) {
      body.readNBytes(Integer.parseInt(length));
    } else if (head.toLowerCase().contains("transfer-encoding: chunked")) {
      SlowResponse.decodeChunked(body);
    }
  }

  /** Reads at a limited speed, and from some byte on nothing until the connection ends. */
  private static final class SlowInput extends InputStream {
    private final InputStream in;
    private final int bytesPerPause;
    private int bytesSincePause;
    private long bytesLeft;

    SlowInput(InputStream in, int bytesPerSecond, long maxBytes) {
      this.in = in;
      bytesPerPause = bytesPerSecond / PAUSES_PER_SECOND;
      bytesLeft = maxBytes;
    }

    @Override
    public int read() throws IOException {
      byte[] one = new byte[1];
      return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
      try {
        if (bytesLeft == 0) {
          Thread.sleep(Long.MAX_VALUE);
        }
        if (bytesSincePause >= bytesPerPause) {
          bytesSincePause = 0;
          Thread.sleep(1_000 / PAUSES_PER_SECOND);
        }
        int wanted = (int) Math.min(Math.min(length, bytesPerPause), bytesLeft);
        int count = in.read(buffer, offset, wanted);
        bytesLeft -= Math.max(0, count);
        bytesSincePause += Math.max(0, count);
        return count;
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }
  }

  @Override
  public void close() throws IOException {
    listening.close();
  }
}

import java.io.BufferedInputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of five archive servers hangs for 5 s and then goes on. A license request that the edge node has given up there and
 * has had served elsewhere must not arrive there later than the window of its key allows.
 */
final class DoubleRunCase {
  private static final int WINDOW_MILLIS = 2_500;
  private static final int HANG_MILLIS = 5_000;
  private static final int BODY_BYTES = 48_000;
  private static final int RECEIVE_BUFFER_BYTES = 8_192;
  private static final int CLIENTS = 10;

  /** A request whose last byte has arrived at a server. */
  private record Arrival(String server, double at) {}

  private static final Map<String, List<Arrival>> ARRIVALS = new ConcurrentHashMap<>();
  private static final AtomicInteger SERVED = new AtomicInteger();
  private static volatile boolean hanging;

  private DoubleRunCase() {}

  /** An archive server with a small receive buffer; the sick one reads nothing while it hangs. */
  private static final class Server implements AutoCloseable {
    final String id;
    final boolean sick;
    final ServerSocket listener = new ServerSocket();

    Server(String id, boolean sick) throws IOException {
      this.id = id;
      this.sick = sick;
      listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      listener.bind(new InetSocketAddress("127.0.0.1", 0), 1024);
      Peer.thread(
          () -> {
            while (true) {
              Socket socket = listener.accept();
              Peer.thread(() -> serve(socket));
            }
          });
    }

    String address() {
      return "127.0.0.1:" + listener.getLocalPort();
    }

    private void awaitHang() throws IOException {
      try {
        while (sick && hanging) {
          Thread.sleep(10);
        }
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }

    private void serve(Socket accepted) throws Exception {
      try (Socket socket = accepted) {
        socket.setTcpNoDelay(true);
        InputStream in =
            new BufferedInputStream(
                new FilterInputStream(socket.getInputStream()) {
                  @Override
                  public int read(byte[] buffer, int offset, int length) throws IOException {
                    awaitHang();
                    int read = super.read(buffer, offset, Math.min(length, 1_024));
                    awaitHang();
                    return read;
                  }
                });
        for (Http.Message request = Http.read(in, false); request != null; request = Http.read(in, false)) {
          String key = request.header("idempotency-key");
          ARRIVALS.computeIfAbsent(key, k -> new ArrayList<>()).add(new Arrival(id, Record.seconds()));
          Record.line("%s: the last byte of %s has arrived", id, key);
          Thread.sleep(40);
          String body = ArchiveServer.bodyFor(request);
          socket.getOutputStream()
              .write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body).getBytes());
        }
      }
    }

    @Override
    public void close() throws IOException {
      listener.close();
    }
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    Discovery discovery = new Discovery(41);
    Counter counter = new Counter();
    for (int i = 0; i < 5; i++) {
      Server server = new Server("s-" + i, i == 0);
      discovery.tell(server.id, server.address(), "Ready", 0);
    }
    discovery.start();
    counter.start();
    Config config = new Config();
    config.searchAimMillis = 1_200;
    config.licenseAimMillis = 750;
    config.deadlineMillis = 2_500;
    config.windowMillis = WINDOW_MILLIS;
    config.lateValue = 0.2;
    try (Node node = new Node("n0", "127.0.0.1:" + Node.freePort(), config.text(discovery, counter), null)) {
      if (node.awaitReady()) {
        exit = play(node, trouble);
      }
    }
    System.exit(exit);
  }

  private static int play(Node node, boolean trouble) throws Exception {
    List<Thread> threads = new ArrayList<>();
    double end = Record.seconds() + 2 + HANG_MILLIS / 1_000.0;
    for (int i = 0; i < CLIENTS; i++) {
      threads.add(
          Peer.thread(
              () -> {
                while (Record.seconds() < end) {
                  ask(node);
                  Thread.sleep(10);
                }
              }));
    }
    Thread.sleep(1_500);
    if (trouble) {
      hanging = true;
      Record.line("s-0 hangs");
    }
    Thread.sleep(HANG_MILLIS);
    hanging = false;
    Record.line("s-0 goes on");
    for (Thread thread : threads) {
      thread.join(10_000);
    }
    Thread.sleep(2_000);
    int repeated = 0;
    int tooLate = 0;
    for (Map.Entry<String, List<Arrival>> entry : ARRIVALS.entrySet()) {
      List<Arrival> arrivals = entry.getValue();
      repeated += arrivals.size() > 1 ? 1 : 0;
      double between = arrivals.get(arrivals.size() - 1).at() - arrivals.get(0).at();
      if (between > WINDOW_MILLIS / 1_000.0 + 0.05) {
        tooLate++;
        Record.line("%s: run %s; %.3f s lie between", entry.getKey(), arrivals, between);
      }
    }
    Record.tell("%d requests served; %d keys arrived at more than one server, %d of them more than %.1f s apart",
        SERVED.get(), repeated, tooLate, WINDOW_MILLIS / 1_000.0);
    if (SERVED.get() < 60) {
      return 2;
    }
    return tooLate > 0 ? 1 : 0;
  }

  private static void ask(Node node) throws Exception {
    String id = Client.newId();
    try (Client client = new Client(node.listen)) {
      client.socket.setSoTimeout(7_000);
      client.write(Client.head(id, "license", "editorial", 7, 2_500, BODY_BYTES, 2));
      client.write(new byte[BODY_BYTES]);
      Http.Message answer = client.answer();
      SERVED.addAndGet(answer != null && answer.status() == 200 ? 1 : 0);
      Record.line("%s: %s", id, answer == null ? "the connection ended" : "answered " + answer.status());
    } catch (IOException e) {
      Record.line("%s: %s", id, e);
    }
  }
}

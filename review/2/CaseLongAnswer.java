import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Archive servers that take some seconds to write a long answer, without a pause. Its first bytes
 * are in time and the client reads it at once. The edge node must not cut it off.
 */
public final class CaseLongAnswer {
  private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
  private static final int CLIENTS = 4;
  private static final int ROUNDS = 3;

  /** Half of the class's give-up time, the least that a client of the site waits. */
  private static final int CLIENT_WAITS_MILLIS = 3_000;

  private static final int PIECES = 100;
  private static final int PIECE_BYTES = 60_000;
  private static final int PIECE_EVERY_MILLIS = 50;
  private static final int ANSWER_BYTES = PIECES * PIECE_BYTES;

  /** What each archive server did for a request: bytes given, -1 when all were. */
  private static final Map<String, Integer> given = new ConcurrentHashMap<>();

  private static final AtomicInteger whole = new AtomicInteger();
  private static final AtomicInteger cut = new AtomicInteger();
  private static final AtomicInteger other = new AtomicInteger();

  private CaseLongAnswer() {}

  public static void main(String[] args) throws Exception {
    try {
      Record.open(Path.of(System.getProperty("record")));
      System.exit(run() ? 0 : 1);
    } catch (Exception e) {
      e.printStackTrace();
      System.exit(2);
    }
  }

  private static boolean run() throws Exception {
    Discovery discovery = new Discovery();
    for (String id : List.of("s-1", "s-2", "s-3", "s-4")) {
      Listener server = new Listener((socket, in, out) -> serve(id, in, out));
      discovery.put(id, server.address());
    }
    String settings =
        Settings.of(
            0, 1, "\"a\"",
            Settings.requestClass("search", "retryable", "all", 2000, 6000, 0, 0),
            Settings.plan("editorial", 0, 0, 0, 0, 0));
    Node node = Node.start("n0", settings, discovery, new Counter(), 1024);
    node.awaitReady();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int customer = 100 + i;
      clients.add(Listener.daemon(() -> ask(node, customer)));
    }
    for (Thread client : clients) {
      client.join();
    }
    node.signal("TERM");
    node.process.waitFor();
    Record.say(
        "answers of %d bytes: whole %d, cut off by the edge node while the server gave more %d, other %d",
        ANSWER_BYTES, whole.get(), cut.get(), other.get());
    if (whole.get() + cut.get() == 0) {
      throw new IllegalStateException("no long answer began, so there is nothing to judge");
    }
    return cut.get() == 0;
  }

  /** An archive server: the answer in pieces over 5 s; without the trouble at once. */
  private static void serve(String id, InputStream in, OutputStream out) throws Exception {
    byte[] piece = new byte[PIECE_BYTES];
    for (Http request = Http.read(in); request != null; request = Http.read(in)) {
      String trace = request.header("X-Trace-Id");
      String head = "HTTP/1.1 200 OK\r\nContent-Length: " + ANSWER_BYTES + "\r\n\r\n";
      out.write(head.getBytes(StandardCharsets.ISO_8859_1));
      Record.line("server %s runs %s and begins its answer", id, trace);
      for (int sent = 1; sent <= PIECES; sent++) {
        try {
          out.write(piece);
        } catch (Exception e) {
          Record.line(
              "server %s: the edge node closed the connection after %d bytes of the answer to %s: %s",
              id, given.getOrDefault(trace, 0), trace, e.getMessage());
          return;
        }
        given.put(trace, sent * PIECE_BYTES);
        if (TROUBLE) {
          Thread.sleep(PIECE_EVERY_MILLIS);
        }
      }
      given.put(trace, -1);
      Record.line("server %s has given the whole answer to %s", id, trace);
    }
  }

  /** A customer that reads each answer as it comes. */
  private static void ask(Node node, int customer) {
    for (int round = 0; round < ROUNDS; round++) {
      String id = Client.newId();
      long start = System.nanoTime();
      long firstMillis = -1;
      int bytes = 0;
      String end = "the end of the connection";
      int status = 0;
      try (Client client = new Client(node.port())) {
        client.socket.setSoTimeout(20_000);
        client.send(Client.get(id, "search", "editorial", customer, CLIENT_WAITS_MILLIS));
        Http head = Http.readHead(client.in);
        while (head != null && head.status() == 100) {
          head = Http.readHead(client.in);
        }
        if (head != null) {
          status = head.status();
          int length = Integer.parseInt(head.header("Content-Length"));
          byte[] buffer = new byte[65_536];
          while (bytes < length) {
            int read = client.in.read(buffer, 0, Math.min(buffer.length, length - bytes));
            if (read < 0) {
              break;
            }
            firstMillis = firstMillis < 0 ? millisSince(start) : firstMillis;
            bytes += read;
          }
        }
      } catch (Exception e) {
        end = e.toString();
      }
      long took = millisSince(start);
      boolean firstInTime = firstMillis >= 0 && firstMillis <= CLIENT_WAITS_MILLIS;
      Record.line(
          "customer %d: %s -> %d, first bytes after %d ms, %d bytes after %d ms",
          customer, id, status, firstMillis, bytes, took);
      if (status == 200 && bytes == ANSWER_BYTES) {
        whole.incrementAndGet();
      } else if (status == 200 && firstInTime && given.getOrDefault(id, 0) != -1) {
        cut.incrementAndGet();
        Record.say(
            "BROKEN: %s began after %d ms and was cut off after %d ms and %d of %d bytes (%s)",
            id, firstMillis, took, bytes, ANSWER_BYTES, end);
      } else {
        other.incrementAndGet();
      }
    }
  }

  private static long millisSince(long startNanos) {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }
}

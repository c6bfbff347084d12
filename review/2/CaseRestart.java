import java.io.BufferedInputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A planned restart (SIGTERM) while clients take some seconds to read long answers. An answer that
 * the archive server has given whole, to a client that reads it within its time, must arrive whole.
 */
public final class CaseRestart {
  private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
  private static final int ROUNDS = 3;
  private static final int CLIENTS = 90;
  private static final int MIN_BYTES = 2_000_000;
  private static final int MAX_BYTES = 6_000_000;

  /** The class's give-up time; each client waits that long for the last byte. */
  private static final int CLIENT_WAITS_MILLIS = 6_000;

  /** A client begins to read this long after its request. */
  private static final int READS_AFTER_MILLIS = 2_500;

  private static final int CLIENTS_BEGIN_WITHIN_MILLIS = 1_000;
  private static final int TERM_AFTER_MILLIS = 1_300;

  /** SIGKILL comes no sooner: the longest deadline and 0.7 s. */
  private static final int KILL_AFTER_MILLIS = CLIENT_WAITS_MILLIS + 700;

  private static final Map<String, Integer> givenWhole = new ConcurrentHashMap<>();
  private static final AtomicInteger whole = new AtomicInteger();
  private static final AtomicInteger cut = new AtomicInteger();
  private static final AtomicInteger other = new AtomicInteger();

  private CaseRestart() {}

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
    for (int i = 1; i <= 8; i++) {
      String id = "s-" + i;
      Listener server = new Listener((socket, in, out) -> serve(id, in, out));
      discovery.put(id, server.address());
    }
    String settings =
        Settings.of(
            0, 1, "\"a\"",
            Settings.requestClass("search", "retryable", "all", 2000, CLIENT_WAITS_MILLIS, 0, 0),
            Settings.plan("editorial", 0, 0, 0, 0, 0));
    Counter counter = new Counter();
    for (int round = 1; round <= ROUNDS; round++) {
      Node node = Node.start("n" + round, settings, discovery, counter, 1024);
      node.awaitReady();
      List<Thread> clients = new ArrayList<>();
      long start = System.nanoTime();
      for (int i = 0; i < CLIENTS; i++) {
        int customer = 1000 * round + i;
        int delay = CLIENTS_BEGIN_WITHIN_MILLIS * i / CLIENTS;
        clients.add(Listener.daemon(() -> ask(node, customer, delay)));
      }
      if (TROUBLE) {
        Thread.sleep(Math.max(0, TERM_AFTER_MILLIS - millisSince(start)));
        node.signal("TERM");
        if (!node.process.waitFor(KILL_AFTER_MILLIS, TimeUnit.MILLISECONDS)) {
          node.signal("KILL");
        }
      }
      for (Thread client : clients) {
        client.join();
      }
      node.signal("TERM");
      node.process.waitFor();
      Record.line("node %s ended with %d", node.name, node.process.exitValue());
    }
    Record.say(
        "long answers: whole %d, cut off by the edge node %d, not begun %d",
        whole.get(), cut.get(), other.get());
    if (whole.get() < CLIENTS) {
      throw new IllegalStateException("too few answers were served to judge");
    }
    return cut.get() == 0;
  }

  /** An archive server: gives an answer of some megabytes as fast as it is taken. */
  private static void serve(String id, InputStream in, OutputStream out) throws Exception {
    byte[] bytes = new byte[MAX_BYTES];
    for (Http request = Http.read(in); request != null; request = Http.read(in)) {
      String trace = request.header("X-Trace-Id");
      int size = MIN_BYTES + new Random(trace.hashCode() * 7919L).nextInt(MAX_BYTES - MIN_BYTES);
      String head = "HTTP/1.1 200 OK\r\nContent-Length: " + size + "\r\n\r\n";
      Record.line("server %s runs %s and gives %d bytes", id, trace, size);
      out.write(head.getBytes(StandardCharsets.ISO_8859_1));
      out.write(bytes, 0, size);
      givenWhole.put(trace, size);
      Record.line("server %s has given the whole answer to %s", id, trace);
    }
  }

  /** A customer with a connection of its own that reads its answer some seconds later. */
  private static void ask(Node node, int customer, int delayMillis) {
    String id = Client.newId();
    long start = 0;
    int status = 0;
    int length = 0;
    int bytes = 0;
    String end = "the end of the connection";
    try (Socket socket = new Socket()) {
      Thread.sleep(delayMillis);
      socket.setReceiveBufferSize(64 * 1024);
      socket.connect(new InetSocketAddress("127.0.0.1", node.port()));
      start = System.nanoTime();
      socket.getOutputStream()
          .write(Client.get(id, "search", "editorial", customer, CLIENT_WAITS_MILLIS));
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Thread.sleep(READS_AFTER_MILLIS);
      Http head = Http.readHead(in);
      while (head != null && head.status() == 100) {
        head = Http.readHead(in);
      }
      if (head != null) {
        status = head.status();
        length = Integer.parseInt(head.header("Content-Length"));
        byte[] buffer = new byte[65_536];
        while (bytes < length) {
          int read = in.read(buffer, 0, Math.min(buffer.length, length - bytes));
          if (read < 0) {
            break;
          }
          bytes += read;
        }
      }
    } catch (Exception e) {
      end = e.toString();
    }
    long took = millisSince(start);
    Record.line(
        "customer %d: %s -> %d, %d of %d bytes after %d ms", customer, id, status, bytes, length, took);
    if (status == 200 && bytes == length) {
      whole.incrementAndGet();
    } else if (status == 200 && givenWhole.containsKey(id) && took < CLIENT_WAITS_MILLIS) {
      cut.incrementAndGet();
      Record.say(
          "BROKEN: %s was cut off %d ms after it was sent, after %d of %d bytes (%s)",
          id, took, bytes, length, end);
    } else {
      other.incrementAndGet();
    }
  }

  private static long millisSince(long startNanos) {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }
}

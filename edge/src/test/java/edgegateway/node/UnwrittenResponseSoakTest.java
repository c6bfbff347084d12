package edgegateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Clients that read late, end their sending or leave, while the node drains now and then: no
 * response that was begun is cut, and nothing is held in the end. Seeded; the duration is set by
 * {@code -Dsoak.seconds}, the seed by {@code -Dsoak.seed}.
 */
class UnwrittenResponseSoakTest extends NodeTest {
  private static final long SEED = Long.getLong("soak.seed", 1);
  private static final long DURATION_NANOS =
      TimeUnit.SECONDS.toNanos(Long.getLong("soak.seconds", 60));

  private static final int CLIENT_THREADS = 12;

  /** Longer than the deadline of the requests. */
  private static final int READ_TIMEOUT_MILLIS = 25_000;

  private static final int MAX_RESPONSE_BYTES = 6_000_000;
  private static final int MAX_READ_DELAY_MILLIS = 1_500;

  /** The states in which a drain closes connections begin 0.6 s after its start. */
  private static final int MAX_DRAIN_MILLIS = 1_500;

  private final byte[] body = new byte[MAX_RESPONSE_BYTES];
  private final AtomicInteger wholeCount = new AtomicInteger();
  private final List<String> cut = new ArrayList<>();
  private EdgeNode node;
  private volatile boolean ended;

  /** What a client does after it sent its request. */
  private enum Behavior {
    READS_LATE,
    ENDS_ITS_SENDING,
    LEAVES
  }

  private void answer(FakePeer.Message request) throws IOException {
    SplittableRandom random = new SplittableRandom(request.headers().get("x-trace-id").hashCode());
    int length = random.nextInt(random.nextBoolean() ? 100_000 : MAX_RESPONSE_BYTES);
    request.answer("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n");
    request.socket().getOutputStream().write(body, 0, length);
  }

  @Test
  @Timeout(3_600)
  void noBegunResponseIsCutAndNothingIsHeldInTheEnd() throws Exception {
    FakePeer server = peer(this::answer);
    node = startNode(config(asManyMembers(server)));
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENT_THREADS; i++) {
      SplittableRandom random = new SplittableRandom(SEED * CLIENT_THREADS + i);
      Thread thread = new Thread(() -> runClient(random), "client-" + i);
      clients.add(thread);
      thread.start();
    }
    drainNowAndThen(new SplittableRandom(SEED));
    ended = true;
    for (Thread client : clients) {
      client.join();
    }
    assertEquals(List.of(), cut, "seed " + SEED + ", whole: " + wholeCount);
    assertTrue(wholeCount.get() > CLIENT_THREADS, "too few responses to judge: " + wholeCount);
    awaitZero("in_progress");
    awaitZero("connections.open");
    awaitZero("connections.held_bytes");
    awaitZero("connections.responses_cut");
  }

  private void awaitZero(String name) {
    long startedAtNanos = System.nanoTime();
    while (!node.metrics.render().contains("app." + name + "=0\n")) {
      assertTrue(
          System.nanoTime() - startedAtNanos < TimeUnit.SECONDS.toNanos(30), node.metrics.render());
    }
  }

  private void drainNowAndThen(SplittableRandom random) throws Exception {
    long endNanos = System.nanoTime() + DURATION_NANOS;
    for (boolean drain = true; endNanos - System.nanoTime() > 0; drain = !drain) {
      boolean on = drain;
      node.loop.submit(() -> node.clients.setDraining(on)).get();
      int millis = random.nextInt(1, MAX_DRAIN_MILLIS);
      node.loop.schedule(() -> {}, millis, TimeUnit.MILLISECONDS).get();
    }
    node.loop.submit(() -> node.clients.setDraining(false)).get();
  }

  private void runClient(SplittableRandom random) {
    for (int i = 0; !ended; i++) {
      String id = Thread.currentThread().getName() + "-" + i;
      Behavior behavior = Behavior.values()[random.nextInt(Behavior.values().length)];
      String result;
      try (Socket socket = connectWithSmallBuffer(node, READ_TIMEOUT_MILLIS)) {
        result = exchange(socket, id, behavior, random);
      } catch (SocketTimeoutException e) {
        result = "no answer and no end";
      } catch (IOException | InterruptedException e) {
        // A connection that ends before the head of its response is no cut response.
        result = null;
      }
      if (result != null) {
        synchronized (cut) {
          cut.add(id + " " + behavior + ": " + result);
        }
      }
    }
  }

  /** Returns null if the response is whole or none was begun, otherwise what was received. */
  private String exchange(Socket socket, String id, Behavior behavior, SplittableRandom random)
      throws IOException, InterruptedException {
    sendRequest(socket, "GET /api", headers(id, "lookup", "20000"), "");
    if (behavior == Behavior.LEAVES) {
      Thread.sleep(random.nextInt(100));
      socket.setSoLinger(random.nextBoolean(), 0);
      return null;
    }
    if (behavior == Behavior.ENDS_ITS_SENDING) {
      Thread.sleep(random.nextInt(MAX_READ_DELAY_MILLIS));
      socket.shutdownOutput();
    }
    Thread.sleep(random.nextInt(MAX_READ_DELAY_MILLIS));
    InputStream in = new BufferedInputStream(socket.getInputStream());
    String head = readHead(in);
    while (head != null && head.contains("HTTP/1.1 100")) {
      head = readHead(in);
    }
    if (head == null) {
      return null;
    }
    int length = Integer.parseInt(head.replaceAll("(?is).*content-length: (\\d+).*", "$1"));
    try {
      int received = in.readNBytes(length).length;
      if (received < length) {
        return received + " of " + length + " bytes";
      }
    } catch (IOException e) {
      return e.toString();
    }
    wholeCount.incrementAndGet();
    return null;
  }
}

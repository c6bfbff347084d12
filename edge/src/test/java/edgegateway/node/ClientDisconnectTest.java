package edgegateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Clients that leave while their connection is not read: none of their attempts may begin over a
 * tenth of a second later. Each crossing is forced.
 */
@Timeout(60)
class ClientDisconnectTest extends NodeTest {
  /** Beyond this an attempt for a client that left is a break. */
  private static final long MAX_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /**
   * What stands behind the beginning of the request: nothing, little, which is read on, or more
   * than is read before its attempt begins.
   */
  private enum Reading {
    ON,
    PARTS_BEHIND,
    MANY_BEHIND,
    BYTES_BEHIND,
    MORE_BYTES_BEHIND,
    BODY,
    CUT_BODY,
    LONG_BODY,
    CUT_LONG_BODY,
    CHUNKED_BODY,
    HTTP_1_0_BODY,
    HTTP_1_0_LONG_BODY
  }

  /** The cases in which something was sent on for a client that had left. */
  private final List<String> forwardedAfterDisconnect = new ArrayList<>();

  @AfterEach
  void nothingWasForwardedAfterADisconnect() {
    assertEquals(List.of(), forwardedAfterDisconnect, "sent on for clients that had left");
  }

  private void note(FakePeer.Message came, String wanted, Reading how, boolean reset) {
    if (came == null || !wanted.equals(came.headers().get("x-trace-id"))) {
      forwardedAfterDisconnect.add(how + (reset ? " reset" : " closed"));
    }
  }

  /**
   * Begins to serve at once, for discovery is heard; {@code change} is made to its configuration.
   */
  private EdgeNode serving(String server, UnaryOperator<String> change) throws Exception {
    String member = member("s-0", server, "Ready", 0);
    String list = "{\"revision\":6,\"complete\":true,\"members\":[" + member + "]}\n";
    discovery =
        peer(
            m ->
                m.answer(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(list.length())
                        + "\r\n"
                        + list
                        + "\r\n"));
    return startNode(change.apply(config(member)));
  }

  /** One connection to the archive server: the next attempt has to wait for it. */
  private EdgeNode narrow(FakePeer server) throws Exception {
    return serving(
        server.address(),
        text ->
            text.replace("\"counter\"", "\"connections\":{\"per-archive-server\":1},\"counter\""));
  }

  /** Connects take as long as they need. */
  private EdgeNode patient(ServerSocket server) throws Exception {
    return serving(
        "127.0.0.1:" + server.getLocalPort(),
        text ->
            text.replace(
                "\"connect-timeout-ns\": 250000000", "\"connect-timeout-ns\": 15000000000"));
  }

  private static void awaitLog(EdgeNode node, String figure) {
    while (!node.metrics.render().contains(figure + "\n")) {
      assertFalse(Thread.interrupted(), node.metrics.render());
    }
  }

  private static String head(String id, String version, String more) {
    StringBuilder text = new StringBuilder("POST /api ").append(version).append("\r\n");
    headers(id, "order", "20000")
        .forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
    return text.append(more).append("\r\n\r\n").toString();
  }

  /** Writes a request so that the node does not read on. */
  private static void ask(Socket client, String id, Reading how) throws IOException {
    client.getOutputStream().write(text(id, how).getBytes(StandardCharsets.US_ASCII));
  }

  private static String text(String id, Reading how) {
    return switch (how) {
      case ON -> head(id, "HTTP/1.1", "Content-Length: 4") + "book";
      case PARTS_BEHIND -> text(id, Reading.ON) + text(id + "-more", Reading.ON).repeat(5);
      case MANY_BEHIND -> text(id, Reading.ON) + text(id + "-more", Reading.ON).repeat(400);
      case BYTES_BEHIND ->
          text(id, Reading.ON)
              + head(id + "-more", "HTTP/1.1", "Content-Length: 60000")
              + "x".repeat(60_000);
      case MORE_BYTES_BEHIND ->
          text(id, Reading.ON)
              + (head(id + "-more", "HTTP/1.1", "Content-Length: 60000") + "x".repeat(60_000))
                  .repeat(6);
      case BODY -> head(id, "HTTP/1.1", "Content-Length: 150000") + "x".repeat(150_000);
      case CUT_BODY -> head(id, "HTTP/1.1", "Content-Length: 300000") + "x".repeat(150_000);
      case LONG_BODY -> head(id, "HTTP/1.1", "Content-Length: 500000") + "x".repeat(500_000);
      case CUT_LONG_BODY -> head(id, "HTTP/1.1", "Content-Length: 500000") + "x".repeat(400_000);
      case CHUNKED_BODY ->
          head(id, "HTTP/1.1", "Transfer-Encoding: chunked")
              + ("4e20\r\n" + "x".repeat(20_000) + "\r\n").repeat(25)
              + "0\r\n\r\n";
      case HTTP_1_0_BODY -> head(id, "HTTP/1.0", "Content-Length: 150000") + "x".repeat(150_000);
      case HTTP_1_0_LONG_BODY ->
          head(id, "HTTP/1.0", "Content-Length: 500000") + "x".repeat(500_000);
    };
  }

  private static long disconnect(Socket client, boolean reset) throws IOException {
    client.setSoLinger(reset, 0);
    client.close();
    return System.nanoTime();
  }

  private static void awaitMaxDelay(long left) {
    while (System.nanoTime() - left <= MAX_DELAY_NANOS) {
      Thread.onSpinWait();
    }
  }

  /** The connection that the attempt waits for is free only after its client left. */
  @Test
  void noAttemptBeginsOnAConnectionThatIsFreeAfterItsClientLeft() throws Exception {
    for (Reading how : Reading.values()) {
      for (boolean reset : new boolean[] {false, true}) {
        CompletableFuture<Void> go = new CompletableFuture<>();
        FakePeer server =
            peer(
                m -> {
                  go.join();
                  m.answer(FakePeer.ok("", "held"));
                });
        EdgeNode node = narrow(server);
        Socket first = client(node);
        sendOrder(first, "t-1");
        server.next();
        Socket second = client(node);
        ask(second, "t-left", how);
        awaitLog(node, "app.in_progress=2");
        awaitMaxDelay(disconnect(second, reset));
        go.complete(null);
        assertEquals("held", FakePeer.read(first).body());
        awaitLog(node, "app.in_progress=0");
        Socket third = client(node);
        sendOrder(third, "t-3");
        assertEquals("held", FakePeer.read(third).body());
        note(server.next(), "t-3", how, reset);
      }
    }
  }

  /** The counter answers only after the client left. */
  @Test
  void noAttemptBeginsWhenTheCounterAnswersAfterItsClientLeft() throws Exception {
    for (Reading how : Reading.values()) {
      for (boolean reset : new boolean[] {false, true}) {
        CompletableFuture<Void> go = new CompletableFuture<>();
        counterScript =
            m -> {
              go.join();
              m.answer(FakePeer.ok("", "1"));
            };
        FakePeer server = peer(m -> m.answer(FakePeer.ok("", "done")));
        EdgeNode node =
            serving(
                server.address(),
                text ->
                    text.replace("\"count-wait-ns\": 50000000", "\"count-wait-ns\": 4000000000"));
        counter.seen.clear();
        Socket client = client(node);
        // Of a customer that comes through several edge nodes, and of whom nothing was heard, it is
        // asked first.
        client
            .getOutputStream()
            .write(
                text("t-left", how)
                    .replace("spread=1", "spread=2")
                    .getBytes(StandardCharsets.US_ASCII));
        counter.next();
        awaitLog(node, "app.in_progress=1");
        assertTrue(server.seen.isEmpty(), "sent on before the counter answered");
        awaitMaxDelay(disconnect(client, reset));
        go.complete(null);
        awaitLog(node, "app.in_progress=0");
        Socket next = client(node);
        sendOrder(next, "t-next");
        assertEquals("done", FakePeer.read(next).body());
        note(server.next(), "t-next", how, reset);
      }
    }
  }

  /** The dial of a further attempt comes up only after the client left. */
  @Test
  void noFurtherAttemptBeginsOnADialThatComesUpAfterItsClientLeft() throws Exception {
    for (Reading how :
        List.of(Reading.ON, Reading.PARTS_BEHIND, Reading.MANY_BEHIND, Reading.MORE_BYTES_BEHIND)) {
      boolean reset = how == Reading.MORE_BYTES_BEHIND;
      ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      toClose.add(server);
      EdgeNode node = patient(server);
      Socket client = client(node);
      ask(client, "t-left", how);
      Socket first = server.accept();
      assertEquals("t-left", FakePeer.read(first).headers().get("x-trace-id"));
      Set<Integer> full = fill(server);
      disconnect(first, true);
      awaitLog(node, "app.connections.archive_servers.opened=2");
      node.loop.submit(() -> {}).get();
      assertFree(node, server, full, client, reset, how);
    }
  }

  /** The first dial comes up only after the client left. */
  @Test
  void noAttemptBeginsOnADialThatComesUpAfterItsClientLeft() throws Exception {
    for (Reading how : Reading.values()) {
      boolean reset = how == Reading.CUT_BODY || how == Reading.LONG_BODY;
      ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      toClose.add(server);
      Set<Integer> full = fill(server);
      EdgeNode node = patient(server);
      Socket client = client(node);
      ask(client, "t-left", how);
      awaitLog(node, "app.connections.archive_servers.opened=1");
      node.loop.submit(() -> {}).get();
      assertFree(node, server, full, client, reset, how);
    }
  }

  /** The client leaves, the dial comes up, and the connection serves the next client first. */
  private void assertFree(
      EdgeNode node,
      ServerSocket server,
      Set<Integer> full,
      Socket client,
      boolean reset,
      Reading how)
      throws Exception {
    awaitMaxDelay(disconnect(client, reset));
    Socket late;
    do {
      late = server.accept();
    } while (full.contains(late.getPort()));
    late.setSoTimeout(10_000);
    awaitLog(node, "app.in_progress=0");
    sendRequest(client(node), "POST /api", headers("t-next", "order", "20000"), "book");
    note(FakePeer.read(late), "t-next", how, reset);
  }

  /** Connects until nobody more is taken; the ports that came. */
  private Set<Integer> fill(ServerSocket server) throws IOException {
    Set<Integer> ports = new HashSet<>();
    while (true) {
      Socket socket = new Socket();
      toClose.add(socket);
      socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      ports.add(socket.getLocalPort());
      try {
        socket.connect(server.getLocalSocketAddress(), 200);
      } catch (SocketTimeoutException e) {
        return ports;
      }
    }
  }

  /**
   * The loop stands still while the client closes and the connection it waits for becomes free:
   * both are read in one turn.
   */
  @Tag("known-red")
  @Test
  void noAttemptBeginsRightAfterAnEventLoopStallInWhichItsClientLeft() throws Exception {
    for (boolean reset : new boolean[] {false, true}) {
      List<CompletableFuture<Void>> goes = new ArrayList<>();
      FakePeer server =
          peer(
              m -> {
                CompletableFuture<Void> go = new CompletableFuture<>();
                synchronized (goes) {
                  goes.add(go);
                }
                go.join();
                m.answer(FakePeer.ok("", "held"));
              });
      EdgeNode node = narrow(server);
      for (int round = 0; round < 10; round++) {
        Socket first = client(node);
        sendOrder(first, "t-" + round);
        assertEquals("t-" + round, server.next().headers().get("x-trace-id"));
        Socket second = client(node);
        sendOrder(second, "t-left-" + round);
        awaitLog(node, "app.in_progress=2");
        CompletableFuture<Void> begun = new CompletableFuture<>();
        CompletableFuture<Void> still = new CompletableFuture<>();
        node.loop.execute(
            () -> {
              begun.complete(null);
              still.join();
            });
        begun.join();
        long left = disconnect(second, reset);
        CompletableFuture<Void> go;
        do {
          synchronized (goes) {
            go = goes.size() > round ? goes.get(round) : null;
          }
        } while (go == null);
        go.complete(null);
        awaitMaxDelay(left);
        still.complete(null);
        assertEquals("held", FakePeer.read(first).body());
        awaitLog(node, "app.in_progress=0");
        if (!server.seen.isEmpty()) {
          note(server.next(), "none", Reading.ON, reset);
          // Its attempt is out and holds the one connection.
          return;
        }
      }
    }
  }

  /** Who is there is served, however it is read, and is asked no more often than a client takes. */
  @Tag("known-red")
  @Test
  void aClientThatIsPresentIsServedThoughItIsNotRead() throws Exception {
    for (Reading how :
        List.of(
            Reading.ON,
            Reading.PARTS_BEHIND,
            Reading.MANY_BEHIND,
            Reading.BYTES_BEHIND,
            Reading.BODY,
            Reading.LONG_BODY)) {
      CompletableFuture<Void> go = new CompletableFuture<>();
      FakePeer server =
          peer(
              m -> {
                go.join();
                m.answer(FakePeer.ok("Connection: close\r\n", "held"));
                m.socket().close();
              });
      EdgeNode node = narrow(server);
      Socket first = client(node);
      sendOrder(first, "t-1");
      server.next();
      Socket second = client(node);
      ask(second, "t-2", how);
      awaitLog(node, "app.in_progress=2");
      awaitMaxDelay(System.nanoTime());
      go.complete(null);
      assertEquals("held", FakePeer.read(first).body());
      int lines = 0;
      FakePeer.Message answer = FakePeer.read(second);
      for (; answer.first().contains(" 100 "); answer = FakePeer.read(second)) {
        lines++;
      }
      assertEquals("200", status(answer), how.toString());
      boolean asked = how == Reading.MANY_BEHIND || how == Reading.LONG_BODY;
      assertTrue(asked ? lines >= 1 && lines <= 4 : lines == 0, how + ": " + lines + " lines");
    }
  }

  /** A peer of HTTP/1.0 can't be asked: it gets a refusal, and nothing begins for it. */
  @Test
  void anHttp10ClientThatIsNotReadIsRejectedRatherThanForwardedBlindly() throws Exception {
    CompletableFuture<Void> go = new CompletableFuture<>();
    FakePeer server =
        peer(
            m -> {
              go.join();
              m.answer(FakePeer.ok("", "held"));
            });
    EdgeNode node = narrow(server);
    Socket first = client(node);
    sendOrder(first, "t-1");
    server.next();
    Socket second = client(node);
    ask(second, "t-2", Reading.HTTP_1_0_LONG_BODY);
    awaitLog(node, "app.in_progress=2");
    awaitMaxDelay(System.nanoTime());
    go.complete(null);
    assertEquals("held", FakePeer.read(first).body());
    assertEquals("503", status(FakePeer.read(second)));
    assertTrue(server.seen.isEmpty());
  }
}

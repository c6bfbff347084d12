package edgegateway.node;

import static edgegateway.node.DiscoveryMessages.WATCH_RESPONSE_HEAD;
import static edgegateway.node.DiscoveryMessages.chunk;
import static edgegateway.node.DiscoveryMessages.list;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.node.config.NodeConfigParser;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * What happens if a request, an answer or a signal comes between two steps; each crossing is
 * forced, not waited for.
 */
@Timeout(60)
class RaceConditionsTest extends NodeTest {
  /** Discovery that sends these, each when it is put here. */
  private BlockingQueue<String> discoverySending() throws IOException {
    BlockingQueue<String> lines = new LinkedBlockingQueue<>();
    discovery =
        peer(
            m -> {
              m.answer(WATCH_RESPONSE_HEAD + chunk("\n"));
              while (true) {
                m.answer(chunk(lines.take()));
              }
            });
    return lines;
  }

  /** One connection to each archive server: the next attempt at one has to wait. */
  private EdgeNode nodeWithOneConnectionPerEndpoint(String... members) throws Exception {
    return startNode(
        config(members)
            .replace("\"counter\"", "\"connections\":{\"per-archive-server\":1},\"counter\""));
  }

  private static void awaitLog(EdgeNode node, String figure) {
    while (!node.metrics.render().contains(figure + "\n")) {
      assertFalse(Thread.interrupted(), node.metrics.render());
    }
  }

  /** An archive server that answers when it is let go. */
  private FakePeer held(CompletableFuture<Void> go) throws IOException {
    return peer(
        m -> {
          go.join();
          m.answer(FakePeer.ok("", "held"));
        });
  }

  /** Chosen before the change, it once went out when a connection was free, however long after. */
  @Test
  void anAttemptWaitingForATerminatingEndpointGoesElsewhere() throws Exception {
    BlockingQueue<String> lines = discoverySending();
    CompletableFuture<Void> go = new CompletableFuture<>();
    FakePeer leaves = held(go);
    FakePeer stays = peer(m -> m.answer(FakePeer.ok("", "other")));
    EdgeNode node = nodeWithOneConnectionPerEndpoint(member("s-0", leaves.address(), "Ready", 0));
    Socket first = client(node);
    sendOrder(first, "t-1");
    leaves.next();
    Socket second = client(node);
    sendOrder(second, "t-2");
    awaitLog(node, "app.in_progress=2");
    lines.add(
        list(
            6,
            false,
            member("s-0", leaves.address(), "Terminating", 0),
            member("s-1", stays.address(), "Ready", 0)));
    awaitLog(node, "app.known_archive_servers=2");
    go.complete(null);
    assertEquals("held", FakePeer.read(first).body());
    assertEquals("other", FakePeer.read(second).body());
    assertTrue(leaves.received.isEmpty(), "sent to a server that was told to leave");
    // Ready again, it is used again.
    lines.add(
        list(
            7,
            false,
            member("s-0", leaves.address(), "Ready", 0),
            member("s-1", stays.address(), "Terminating", 0)));
    do {
      sendOrder(first, "t-" + System.nanoTime());
    } while (!FakePeer.read(first).body().equals("held"));
  }

  /** What has not begun when its client leaves once began when a connection was free. */
  @Test
  void aWaitingAttemptIsNotSentForADisconnectedClient() throws Exception {
    CompletableFuture<Void> go = new CompletableFuture<>();
    FakePeer server = held(go);
    EdgeNode node = nodeWithOneConnectionPerEndpoint(member("s-0", server.address(), "Ready", 0));
    Socket first = client(node);
    sendOrder(first, "t-1");
    server.next();
    for (String how : List.of("close", "reset", "behind")) {
      Socket second = client(node);
      sendOrder(second, "t-" + how);
      if (how.equals("behind")) {
        sendOrder(second, "t-more");
      }
      awaitLog(node, "app.in_progress=2");
      second.setSoLinger(how.equals("reset"), 0);
      second.close();
      awaitLog(node, "app.in_progress=1");
    }
    Socket third = client(node);
    sendOrder(third, "t-3");
    go.complete(null);
    assertEquals("held", FakePeer.read(first).body());
    assertEquals("held", FakePeer.read(third).body());
    assertEquals("t-3", server.next().headers().get("x-trace-id"));
  }

  /**
   * A peer of HTTP/1.0 can't be asked whether it is still there: nothing begins for it, and it is
   * answered.
   */
  @Test
  void anHttp10ClientThatHalfClosesGetsTheResponseInFlightAndNoFurtherAttempt() throws Exception {
    CompletableFuture<Void> go = new CompletableFuture<>();
    FakePeer server = held(go);
    EdgeNode node = nodeWithOneConnectionPerEndpoint(member("s-0", server.address(), "Ready", 0));
    Socket first = client(node);
    orderByHttp10(first, "t-1");
    server.next();
    first.shutdownOutput();
    awaitLog(node, "app.connections.half_closed=1");
    Socket second = client(node);
    orderByHttp10(second, "t-2");
    awaitLog(node, "app.in_progress=2");
    second.shutdownOutput();
    assertEquals("503", status(FakePeer.read(second)));
    go.complete(null);
    assertEquals("held", FakePeer.read(first).body());
    assertTrue(server.received.isEmpty());
  }

  /** An attempt that failed is not made again for it, nor does it go without an answer. */
  @Test
  void anHttp10ClientThatHalfClosesGetsTheLastAttemptsFailure() throws Exception {
    CompletableFuture<Void> go = new CompletableFuture<>();
    FakePeer server =
        peer(
            m -> {
              go.join();
              m.answer("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
            });
    EdgeNode node = nodeWithOneConnectionPerEndpoint(member("s-0", server.address(), "Ready", 0));
    Socket client = client(node);
    orderByHttp10(client, "t-1");
    server.next();
    client.shutdownOutput();
    awaitLog(node, "app.connections.half_closed=1");
    go.complete(null);
    assertEquals("502", status(FakePeer.read(client)));
    assertTrue(server.received.isEmpty());
  }

  private static void orderByHttp10(Socket to, String id) throws IOException {
    StringBuilder text = new StringBuilder("POST /api HTTP/1.0\r\n");
    headers(id, "order", "20000")
        .forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
    to.getOutputStream()
        .write((text + "Content-Length: 4\r\n\r\nbook").getBytes(StandardCharsets.UTF_8));
  }

  /**
   * The dial came up after the time in which the servers drop repeats: the repeat would have run
   * once more.
   */
  @Test
  void aRetryConnectedAfterTheIdempotencyKeyWindowIsNotSent() throws Exception {
    ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    toClose.add(server);
    String at = "127.0.0.1:" + server.getLocalPort();
    EdgeNode node =
        startNode(
            config(member("s-0", at, "Ready", 0))
                .replace("\"key-ttl-ns\": 30000000000", "\"key-ttl-ns\": 400000000")
                .replace(
                    "\"connect-timeout-ns\": 250000000", "\"connect-timeout-ns\": 15000000000"));
    Socket client = client(node);
    sendOrder(client, "t-1");
    Socket first = server.accept();
    assertEquals("t-1", FakePeer.read(first).headers().get("x-trace-id"));
    // The kernel's line is full: it drops the next one's first packet, which comes again after a
    // second.
    int full = fill(server);
    first.setSoLinger(true, 0);
    first.close();
    awaitLog(node, "app.connections.archive_servers.opened=2");
    // The turn of the loop in which it was dialed is over.
    node.loop.submit(() -> {}).get();
    for (int i = 0; i < full; i++) {
      server.accept();
    }
    Socket late = server.accept();
    late.setSoTimeout(5_000);
    assertEquals("503", status(FakePeer.read(client)));
    sendRequest(client, "POST /api", headers("t-2", "order", "20000"), "book");
    assertEquals(
        "t-2",
        FakePeer.read(late).headers().get("x-trace-id"),
        "the connection serves the next one");
  }

  /** Connects until nobody more is taken; how many were. */
  private int fill(ServerSocket server) throws IOException {
    for (int taken = 0; ; taken++) {
      Socket socket = new Socket();
      toClose.add(socket);
      try {
        socket.connect(server.getLocalSocketAddress(), 200);
      } catch (SocketTimeoutException e) {
        return taken;
      }
    }
  }

  /** An attempt that timed out was still out when the next one began. */
  @Test
  void theConnectionOfAnEndedAttemptIsClosedBeforeTheNextBegins() throws Exception {
    EdgeNode node =
        startNode(
            config(
                member("s-0", "127.0.0.1:1", "Ready", 0),
                member("s-1", "127.0.0.1:2", "Ready", 0)));
    List<Boolean> otherWasOpen = new ArrayList<>();
    EmbeddedChannel[] servers = new EmbeddedChannel[2];
    node.loop
        .submit(
            () -> {
              for (int i = 0; i < 2; i++) {
                int other = 1 - i;
                servers[i] = server(node, () -> otherWasOpen.add(servers[other].isActive()));
              }
              node.upstreamPool.adopt("s-0", servers[0]);
              node.upstreamPool.adopt("s-1", servers[1]);
              EmbeddedChannel client = new EmbeddedChannel(node.clients.newHandlers());
              StringBuilder text = new StringBuilder("GET /api HTTP/1.1\r\n");
              headers("t-1", "lookup", "20000")
                  .forEach(
                      (name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
              client.writeInbound(Unpooled.copiedBuffer(text + "\r\n", StandardCharsets.UTF_8));
              EmbeddedChannel used =
                  servers[0].outboundMessages().isEmpty() ? servers[1] : servers[0];
              used.writeInbound(Unpooled.copiedBuffer("nonsense\r\n\r\n", StandardCharsets.UTF_8));
              client.close();
              return null;
            })
        .get();
    assertEquals(
        List.of(true, false),
        otherWasOpen.stream().distinct().toList(),
        "the second attempt began before the first was ended");
  }

  /** A connection in memory that tells when something is written to it. */
  private static EmbeddedChannel server(EdgeNode node, Runnable onWrite) {
    return new EmbeddedChannel(node.upstreamPool.handlers()) {
      @Override
      public void handleOutboundMessage(Object message) {
        onWrite.run();
        super.handleOutboundMessage(message);
      }
    };
  }

  /**
   * The socket of clients was once opened after the signal, by a process that had nobody left to
   * close it.
   */
  @Test
  void aSignalDuringStartupEndsTheProcess() throws Exception {
    discovery = peer(m -> {});
    EdgeNode node = new EdgeNode(NodeConfigParser.parse(config()), null);
    toClose.add(node);
    CompletableFuture<Boolean> started =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                node.start();
                return node.stopping();
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            });
    discovery.next();
    node.stop().get(10, TimeUnit.SECONDS);
    assertTrue(started.get());
    assertThrows(RuntimeException.class, node::address);
    discovery = peer(m -> {});
    Path file = Files.createTempFile("node", ".json");
    Files.writeString(file, config());
    Process process = startProcess(file, List.of());
    discovery.next();
    sendSignal(process, "TERM");
    // Once more, if it is still there.
    new ProcessBuilder("kill", "-TERM", Long.toString(process.pid())).start().waitFor();
    assertEquals(0, process.waitFor());
  }
}

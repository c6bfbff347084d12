package edgegateway.node;

import static edgegateway.node.DiscoveryMessages.WATCH_RESPONSE_HEAD;
import static edgegateway.node.DiscoveryMessages.chunk;
import static edgegateway.node.DiscoveryMessages.list;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.node.config.NodeConfigParser;
import edgegateway.protocol.Json;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Endpoint lists that come late, in pieces or not at all; each order of events is forced. */
@Timeout(60)
class DiscoveryRaceTest extends NodeTest {
  /** The cached list may name an endpoint that was told to leave since. */
  @Test
  void noClientIsServedByTheCachedListBeforeDiscoveryResponds() throws Exception {
    CompletableFuture<Void> go = new CompletableFuture<>();
    FakePeer leaves = peer(m -> m.answer(FakePeer.ok("", "leaves")));
    FakePeer stays = peer(m -> m.answer(FakePeer.ok("", "stays")));
    String listed =
        list(
            6,
            true,
            member("s-0", leaves.address(), "Terminating", 0),
            member("s-1", stays.address(), "Ready", 0));
    discovery =
        peer(
            m -> {
              go.join();
              m.answer(WATCH_RESPONSE_HEAD + chunk(listed));
            });
    int port = freePort();
    EdgeNode node =
        new EdgeNode(
            NodeConfigParser.parse(
                config(member("s-0", leaves.address(), "Ready", 0))
                    .replace("127.0.0.1:0", "127.0.0.1:" + port)),
            null);
    toClose.add(node);
    CompletableFuture<Void> started = startInBackground(node);
    discovery.next();
    assertThrows(
        TimeoutException.class,
        () -> started.get(200, TimeUnit.MILLISECONDS),
        "it has begun to serve");
    assertThrows(IOException.class, () -> new Socket("127.0.0.1", port).close());
    go.complete(null);
    started.get();
    Socket client = client(node);
    sendOrder(client, "t-1");
    assertEquals("stays", FakePeer.read(client).body());
  }

  private static int freePort() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return free.getLocalPort();
    }
  }

  private static CompletableFuture<Void> startInBackground(EdgeNode node) {
    return CompletableFuture.runAsync(
        () -> {
          try {
            node.start();
          } catch (Exception e) {
            throw new IllegalStateException(e);
          }
        });
  }

  /**
   * Lists of any layout, split anywhere; a watch that hangs, and one that ends within a list, hold
   * nobody up.
   */
  @Test
  void listsMayBeIndentedAndSplitAndWatchesMayHang() throws Exception {
    FakePeer first = peer(m -> m.answer(FakePeer.ok("", "first")));
    FakePeer second = peer(m -> m.answer(FakePeer.ok("", "second")));
    BlockingQueue<Integer> calls = new LinkedBlockingQueue<>(List.of(0, 1, 2));
    String complete = indented(list(6, true, member("s-0", first.address(), "Ready", 0))) + "\n";
    String change =
        indented(
                list(
                    7,
                    false,
                    member("s-0", first.address(), "Terminating", 0),
                    member("s-1", second.address(), "Ready", 0)))
            .replace("\n", "\r\n");
    CompletableFuture<Void> go = new CompletableFuture<>();
    discovery =
        peer(
            m -> {
              int call = Objects.requireNonNullElse(calls.poll(), 2);
              if (call == 0) {
                return;
              }
              m.answer(WATCH_RESPONSE_HEAD);
              if (call == 1) {
                m.answer(chunk(complete.substring(0, complete.length() / 2)));
                m.socket().close();
                return;
              }
              answerByteByByte(m, complete);
              go.join();
              answerByteByByte(m, change);
            });
    EdgeNode node = startNode(config());
    Socket client = client(node);
    orderUntil(client, "first");
    go.complete(null);
    orderUntil(client, "second");
    assertTrue(calls.isEmpty());
  }

  private static String indented(String list) throws IOException {
    return Json.read(list).toPrettyString();
  }

  private static void answerByteByByte(FakePeer.Message to, String text) throws IOException {
    for (byte next : text.getBytes(StandardCharsets.UTF_8)) {
      to.answer(chunk(String.valueOf((char) next)));
    }
  }

  private static void orderUntil(Socket client, String expectedBody) throws IOException {
    String body;
    do {
      sendOrder(client, "t-" + System.nanoTime());
      body = FakePeer.read(client).body();
    } while (!body.equals(expectedBody));
  }
}

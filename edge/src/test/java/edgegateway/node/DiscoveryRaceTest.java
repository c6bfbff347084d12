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

/**
 * Endpoint lists that arrive late, split into chunks or not at all. Each test forces the order of
 * events instead of waiting for it to occur.
 */
@Timeout(60)
class DiscoveryRaceTest extends NodeTest {
  /** An endpoint of the cached list may have started to terminate since the list was stored. */
  @Test
  void noClientIsServedByTheCachedListBeforeDiscoveryResponds() throws Exception {
    CompletableFuture<Void> respond = new CompletableFuture<>();
    FakePeer terminating = peer(m -> m.answer(FakePeer.ok("", "terminating")));
    FakePeer ready = peer(m -> m.answer(FakePeer.ok("", "ready")));
    String updated =
        list(
            6,
            true,
            member("s-0", terminating.address(), "Terminating", 0),
            member("s-1", ready.address(), "Ready", 0));
    discovery =
        peer(
            m -> {
              respond.join();
              m.answer(WATCH_RESPONSE_HEAD + chunk(updated));
            });
    int port = freePort();
    EdgeNode node =
        new EdgeNode(
            NodeConfigParser.parse(
                config(member("s-0", terminating.address(), "Ready", 0))
                    .replace("127.0.0.1:0", "127.0.0.1:" + port)),
            null);
    toClose.add(node);
    CompletableFuture<Void> started = startInBackground(node);
    discovery.next();
    assertThrows(
        TimeoutException.class,
        () -> started.get(200, TimeUnit.MILLISECONDS),
        "the node started before discovery responded");
    assertThrows(IOException.class, () -> new Socket("127.0.0.1", port).close());
    respond.complete(null);
    started.get();
    Socket client = client(node);
    sendOrder(client, "t-1");
    assertEquals("ready", FakePeer.read(client).body());
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
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
   * Discovery may format a list in any way and split it at any byte. A watch that gets no response
   * and one that ends in the middle of a list must not keep the node from starting.
   */
  @Test
  void listsMayBeIndentedSplitAtAnyByteOrCutOffAndAWatchMayHang() throws Exception {
    FakePeer first = peer(m -> m.answer(FakePeer.ok("", "first")));
    FakePeer second = peer(m -> m.answer(FakePeer.ok("", "second")));
    BlockingQueue<Integer> watchNumbers = new LinkedBlockingQueue<>(List.of(0, 1, 2));
    String complete = indented(list(6, true, member("s-0", first.address(), "Ready", 0))) + "\n";
    String change =
        indented(
                list(
                    7,
                    false,
                    member("s-0", first.address(), "Terminating", 0),
                    member("s-1", second.address(), "Ready", 0)))
            .replace("\n", "\r\n");
    CompletableFuture<Void> sendChange = new CompletableFuture<>();
    discovery =
        peer(
            m -> {
              int watchNumber = Objects.requireNonNullElse(watchNumbers.poll(), 2);
              if (watchNumber == 0) {
                return;
              }
              m.answer(WATCH_RESPONSE_HEAD);
              if (watchNumber == 1) {
                m.answer(chunk(complete.substring(0, complete.length() / 2)));
                m.socket().close();
                return;
              }
              answerByteByByte(m, complete);
              sendChange.join();
              answerByteByByte(m, change);
            });
    EdgeNode node = startNode(config());
    Socket client = client(node);
    orderUntil(client, "first");
    sendChange.complete(null);
    orderUntil(client, "second");
    assertTrue(watchNumbers.isEmpty());
  }

  private static String indented(String list) throws IOException {
    return Json.read(list).toPrettyString();
  }

  private static void answerByteByByte(FakePeer.Message message, String text) throws IOException {
    for (byte character : text.getBytes(StandardCharsets.UTF_8)) {
      message.answer(chunk(String.valueOf((char) character)));
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

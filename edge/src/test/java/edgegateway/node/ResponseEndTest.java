package edgegateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A response is forwarded as complete only if all of it arrived, wherever in the response the
 * connection to the archive server or to the client ends.
 */
@Timeout(60)
class ResponseEndTest extends NodeTest {
  /**
   * Closing a socket with unread input resets the connection. When the client sent more data during
   * the close, this discarded the part of the response that the client had not read yet.
   */
  @Test
  void aResponseIsCompleteThoughMoreArrivesDuringTheClose() throws Exception {
    // The kernel accepts it in one write, but the receive buffer of the client holds little of it.
    String body = "x".repeat(8_000);
    BlockingQueue<CompletableFuture<Void>> scriptedResponses = new LinkedBlockingQueue<>();
    BlockingQueue<Integer> responsesWritten = new LinkedBlockingQueue<>();
    FakePeer server =
        peer(
            m -> {
              scriptedResponses.take().join();
              m.answer(FakePeer.ok("", body));
              responsesWritten.add(1);
            });
    EdgeNode node = startNode(server);
    node.operatorCommands().drain(true).get();
    for (int round = 0; round < 30; round++) {
      Socket client = new Socket();
      client.setReceiveBufferSize(2_048);
      client.connect(node.address());
      client.setSoTimeout(20_000);
      toClose.add(client);
      sendOrder(client, "t-" + round);
      assertEquals("t-" + round, server.next().headers().get("x-trace-id"));
      CompletableFuture<Void> unblockLoop = new CompletableFuture<>();
      CompletableFuture<Void> respond = new CompletableFuture<>();
      node.loop.execute(unblockLoop::join);
      // When the event loop continues, both the response and the data after the request are
      // readable at its sockets.
      scriptedResponses.add(respond);
      respond.complete(null);
      responsesWritten.take();
      client.getOutputStream().write("GET /api HTTP/1.1\r\nHost".getBytes(StandardCharsets.UTF_8));
      unblockLoop.complete(null);
      String received = new String(client.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertTrue(
          received.startsWith("HTTP/1.1 200") && received.endsWith(body),
          "round " + round + ": response was truncated after " + received.length() + " bytes");
      client.close();
    }
    assertTrue(server.received.isEmpty(), "the data after the last request was forwarded");
  }

  /**
   * A body without length ends when the archive server closes the connection. Here the archive
   * server stalls and the node closes the connection itself, which must not count as the end of the
   * body.
   */
  @Test
  void aStalledResponseWithoutLengthIsNotForwardedAsComplete() throws Exception {
    FakePeer server =
        peer(m -> m.answer("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + "x".repeat(200_000)));
    EdgeNode node = startNode(server);
    Socket client = client(node);
    sendRequest(client, "GET /api", headers("t-1", "lookup", "50000"), "");
    String received = new String(client.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertTrue(received.contains("chunked"), received.substring(0, 200));
    assertFalse(received.endsWith("0\r\n\r\n"), "a truncated response was forwarded as complete");
  }

  /**
   * However the end of the body is marked, a response is incomplete after a close before its end or
   * a reset at any byte. The client then gets status 502, and a request that is not idempotent is
   * not retried.
   */
  @Test
  void aResponseCutAtAnyByteIsNoResponse() throws Exception {
    List<String> fullResponses =
        List.of(
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    BlockingQueue<String> responses = new LinkedBlockingQueue<>();
    BlockingQueue<Boolean> resets = new LinkedBlockingQueue<>();
    FakePeer server =
        peer(
            m -> {
              m.answer(responses.take());
              m.socket().setSoLinger(resets.take(), 0);
              m.socket().close();
            });
    EdgeNode node = startNode(server);
    Socket client = client(node);
    for (String response : fullResponses) {
      for (int cutAt = 0; cutAt <= response.length(); cutAt++) {
        for (boolean reset : new boolean[] {false, true}) {
          if (isAmbiguous(response, cutAt, reset)) {
            continue;
          }
          responses.add(response.substring(0, cutAt));
          resets.add(reset);
          boolean complete = !reset && cutAt == response.length();
          String id = "t-" + fullResponses.indexOf(response) + "-" + cutAt + reset;
          sendRequest(client, "POST /api", headers(id, "strict", "20000"), "book");
          FakePeer.Message answer = FakePeer.read(client);
          assertEquals(complete ? "200" : "502", status(answer), id);
          assertEquals(complete ? "body" : "", answer.body(), id);
          assertEquals(id, server.next().headers().get("x-trace-id"));
          assertTrue(server.received.isEmpty(), "retried: " + id);
          // The archive server closes the connection also after a complete response. A request
          // that the node writes before it detects the close would be lost to a reset.
          awaitMetric(node, "connections.archive_servers.open", 0);
        }
      }
    }
  }

  /**
   * Whether the node cannot tell if the response is complete: a body without length is delimited by
   * the close of the connection, and a reset after the last byte may arrive before or after the
   * node has read that byte.
   */
  private static boolean isAmbiguous(String response, int cutAt, boolean reset) {
    if (reset) {
      return cutAt == response.length();
    }
    int bodyStart = response.indexOf("\r\n\r\n") + 4;
    return response.contains("Connection") && cutAt >= bodyStart && cutAt < response.length();
  }
}

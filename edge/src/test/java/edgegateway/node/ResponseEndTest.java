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

/** A response is forwarded whole or not at all, wherever its connection or its client's ends. */
@Timeout(60)
class ResponseEndTest extends NodeTest {
  /**
   * A close over what the client sent in that moment once took back what it had not read of its
   * answer.
   */
  @Test
  void aResponseIsCompleteThoughMoreArrivesDuringTheClose() throws Exception {
    // All of it is with the system at once, and little of it with the client.
    String body = "x".repeat(8_000);
    BlockingQueue<CompletableFuture<Void>> goes = new LinkedBlockingQueue<>();
    BlockingQueue<Integer> answered = new LinkedBlockingQueue<>();
    FakePeer server =
        peer(
            m -> {
              goes.take().join();
              m.answer(FakePeer.ok("", body));
              answered.add(1);
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
      CompletableFuture<Void> busy = new CompletableFuture<>();
      CompletableFuture<Void> go = new CompletableFuture<>();
      node.loop.execute(busy::join);
      // Both wait at the sockets when the loop goes on: the answer and what comes behind the
      // request.
      goes.add(go);
      go.complete(null);
      answered.take();
      client.getOutputStream().write("GET /api HTTP/1.1\r\nHost".getBytes(StandardCharsets.UTF_8));
      busy.complete(null);
      String all = new String(client.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertTrue(
          all.startsWith("HTTP/1.1 200") && all.endsWith(body),
          "round " + round + ": cut after " + all.length() + " bytes");
      client.close();
    }
    assertTrue(server.received.isEmpty(), "what came after the last answer was sent on");
  }

  /** Its end was the node's own doing, and no end of the answer. */
  @Test
  void aStalledResponseWithoutLengthIsNotForwardedAsComplete() throws Exception {
    FakePeer server =
        peer(m -> m.answer("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + "x".repeat(200_000)));
    EdgeNode node = startNode(server);
    Socket client = client(node);
    sendRequest(client, "GET /api", headers("t-1", "lookup", "50000"), "");
    String all = new String(client.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertTrue(all.contains("chunked"), all.substring(0, 200));
    assertFalse(all.endsWith("0\r\n\r\n"), "a part was passed on as the whole");
  }

  /**
   * Whatever its form: a close before its end, or a reset anywhere, does not complete it, and an
   * unsafe request is not sent again.
   */
  @Test
  void aResponseCutAtAnyByteIsNoResponse() throws Exception {
    List<String> forms =
        List.of(
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    BlockingQueue<String> parts = new LinkedBlockingQueue<>();
    BlockingQueue<Boolean> resets = new LinkedBlockingQueue<>();
    FakePeer server =
        peer(
            m -> {
              m.answer(parts.take());
              m.socket().setSoLinger(resets.take(), 0);
              m.socket().close();
            });
    EdgeNode node = startNode(server);
    Socket client = client(node);
    for (String form : forms) {
      for (int cut = 0; cut <= form.length(); cut++) {
        for (boolean reset : new boolean[] {false, true}) {
          if (isAmbiguous(form, cut, reset)) {
            continue;
          }
          parts.add(form.substring(0, cut));
          resets.add(reset);
          boolean complete = !reset && cut == form.length();
          String id = "t-" + forms.indexOf(form) + "-" + cut + reset;
          sendRequest(client, "POST /api", headers(id, "strict", "20000"), "book");
          FakePeer.Message answer = FakePeer.read(client);
          assertEquals(complete ? "200" : "502", status(answer), id);
          assertEquals(complete ? "body" : "", answer.body(), id);
          assertEquals(id, server.next().headers().get("x-trace-id"));
          assertTrue(server.received.isEmpty(), "sent again: " + id);
          // It is closed after a complete response: what is written before that is seen ends as a
          // reset, unread.
          ConnectionsTest.awaitMetric(node, "connections.archive_servers.open", 0);
        }
      }
    }
  }

  /**
   * Whether the node can't tell: a body without a length ends with its connection, and a reset may
   * arrive before or after what it resets.
   */
  private static boolean isAmbiguous(String form, int cut, boolean reset) {
    if (reset) {
      return cut == form.length();
    }
    int bodyStart = form.indexOf("\r\n\r\n") + 4;
    return form.contains("Connection") && cut >= bodyStart && cut < form.length();
  }
}

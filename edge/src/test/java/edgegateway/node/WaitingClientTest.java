package edgegateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that a client's time to wait counts from when it sent its request, read or not. */
@Timeout(60)
class WaitingClientTest extends NodeTest {
  private static final int LONG_BODY_BYTES = 9_000_000;
  private static final int WAIT_MILLIS = 1_000;
  private static final int GRACE_MILLIS = 500;
  private static final int DEADLINE_SLACK_MILLIS = 150;

  private static long millisSince(long startNanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  private String configOf(String address) throws IOException {
    return config(member("s-0", address, "Ready", 0))
        .replace("\"aim-ns\": 10000000000", "\"aim-ns\": 900000000");
  }

  private static void sendHeadOfLongBody(Socket client, String id) throws IOException {
    StringBuilder head = new StringBuilder("POST /api HTTP/1.1\r\n");
    Map<String, String> headers = headers(id, "order", Integer.toString(WAIT_MILLIS));
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append("Content-Length: ").append(LONG_BODY_BYTES).append("\r\n\r\n");
    client.getOutputStream().write(head.toString().getBytes(StandardCharsets.US_ASCII));
  }

  private static void startWriting(Socket client, byte[] body) {
    Thread thread =
        new Thread(
            () -> {
              try {
                client.getOutputStream().write(body);
              } catch (IOException e) {
                // The node answered and closed before it read all of the body.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  @Test
  void aServerThatStopsReadingALargeRequestDoesNotDelayTheFinalAnswer() throws Exception {
    ServerSocket server = new ServerSocket();
    server.setReceiveBufferSize(8 << 10);
    server.bind(null);
    toClose.add(server);
    EdgeNode node = startNode(configOf("127.0.0.1:" + server.getLocalPort()));
    Socket client = client(node);
    long startNanos = System.nanoTime();
    sendHeadOfLongBody(client, "t-1");
    startWriting(client, new byte[LONG_BODY_BYTES]);
    Socket stuck = server.accept();
    toClose.add(stuck);
    stuck.getInputStream().readNBytes(17_000);
    String status = status(FakePeer.read(client));
    long answeredMillis = millisSince(startNanos);
    assertEquals("502", status);
    assertTrue(answeredMillis < WAIT_MILLIS + GRACE_MILLIS, answeredMillis + " ms");
    awaitMetric(node, "in_progress", 0);
    awaitMetric(node, "connections.held_bytes", 0);
  }

  @Test
  void aClientThatStopsWithinALongBodyIsClosedWithinThreeSeconds() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "done")));
    EdgeNode node = startNode(configOf(server.address()));
    Socket client = client(node);
    sendHeadOfLongBody(client, "t-1");
    client.getOutputStream().write(new byte[LONG_BODY_BYTES / 3]);
    long stoppedNanos = System.nanoTime();
    while (client.getInputStream().read() >= 0) {}
    long closedMillis = millisSince(stoppedNanos);
    assertTrue(closedMillis < 3_000, closedMillis + " ms");
  }

  @Test
  void aSlowBodyIsNotTakenForOneWhoseClientWaits() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "done")));
    EdgeNode node = startNode(configOf(server.address()));
    Socket client = client(node);
    sendHeadOfLongBody(client, "t-1");
    // Longer than the client waits for its response, with a pause after each piece.
    byte[] piece = new byte[LONG_BODY_BYTES / 10];
    for (int i = 0; i < 10; i++) {
      client.getOutputStream().write(piece);
      node.loop.schedule(() -> {}, 150, TimeUnit.MILLISECONDS).get();
    }
    assertEquals("200", status(FakePeer.read(client)));
  }

  @Test
  void aClientThatWaitedInTheAcceptQueueAndSendsLaterHasAllOfItsTime() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "done")));
    EdgeNode node = startNode(configOf(server.address()));
    CompletableFuture<Void> unblockLoop = new CompletableFuture<>();
    node.loop.execute(unblockLoop::join);
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      clients.add(client(node));
    }
    unblockLoop.complete(null);
    node.loop.schedule(() -> {}, WAIT_MILLIS + 200, TimeUnit.MILLISECONDS).get();
    for (Socket client : clients) {
      String id = "t-" + clients.indexOf(client);
      sendRequest(client, "GET /api", headers(id, "lookup", Integer.toString(WAIT_MILLIS)), "");
      assertEquals("200", status(FakePeer.read(client)), id);
    }
  }

  @Test
  void theTimeOfAPipelinedRequestCountsFromWhenItWasSent() throws Exception {
    List<String> wrong = Collections.synchronizedList(new ArrayList<>());
    long startNanos = System.nanoTime();
    FakePeer server =
        peer(
            m -> {
              long leftMillis = WAIT_MILLIS - millisSince(startNanos);
              long toldMillis = Long.parseLong(m.headers().get("x-expires-in-ms"));
              // The node's start is part of the elapsed time, hence the request's own is added.
              long sentMillis = Long.parseLong(m.headers().get("x-trace-id"));
              if (toldMillis > leftMillis + sentMillis + DEADLINE_SLACK_MILLIS) {
                wrong.add("told " + toldMillis + " ms, left " + (leftMillis + sentMillis));
              }
              Thread.sleep(250);
              m.answer(FakePeer.ok("", "done"));
            });
    EdgeNode node = startNode(configOf(server.address()));
    Socket client = client(node);
    long sentMillis = millisSince(startNanos);
    int count = 8;
    for (int i = 0; i < count; i++) {
      Map<String, String> headers = headers("0", "lookup", Integer.toString(WAIT_MILLIS));
      headers.put("X-Trace-Id", "0".repeat(i) + sentMillis);
      sendRequest(client, "GET /api", headers, "");
    }
    for (int i = 0; i < count; i++) {
      status(FakePeer.read(client));
      long answeredMillis = millisSince(startNanos) - sentMillis;
      if (answeredMillis > WAIT_MILLIS + GRACE_MILLIS) {
        wrong.add("answer " + i + " after " + answeredMillis + " ms");
      }
    }
    assertEquals(List.of(), wrong);
  }
}

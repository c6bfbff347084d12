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
 * No attempt may start for a client that disconnected more than 0.1 s before, even if the node has
 * paused reading from its connection, so that it sees neither a close nor a reset. Each test forces
 * its order of events.
 */
@Timeout(60)
class ClientDisconnectTest extends NodeTest {
  /** No attempt may start for a client that disconnected longer ago than this. */
  private static final long MAX_DETECTION_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /**
   * What a client sends: a request alone or with pipelined ones, or a request with a longer body.
   * The node keeps reading after a little further input, and pauses reading once the input exceeds
   * its read-ahead limit.
   */
  private enum ClientInput {
    SINGLE_REQUEST,
    FEW_PIPELINED,
    MANY_PIPELINED,
    LARGE_PIPELINED,
    SEVERAL_LARGE_PIPELINED,
    BODY,
    TRUNCATED_BODY,
    LONG_BODY,
    TRUNCATED_LONG_BODY,
    CHUNKED_BODY,
    HTTP_1_0_BODY,
    HTTP_1_0_LONG_BODY
  }

  /** The cases in which a request was forwarded for a client that had disconnected. */
  private final List<String> forwardedAfterDisconnect = new ArrayList<>();

  @AfterEach
  void nothingWasForwardedAfterADisconnect() {
    assertEquals(
        List.of(), forwardedAfterDisconnect, "forwarded for clients that had disconnected");
  }

  /** Records a failure if the message is another than the expected request. */
  private void recordUnlessExpected(
      FakePeer.Message received, String expectedId, ClientInput input, boolean reset) {
    if (received == null || !expectedId.equals(received.headers().get("x-trace-id"))) {
      forwardedAfterDisconnect.add(input + (reset ? " reset" : " closed"));
    }
  }

  /**
   * Starts a node that serves at once, because discovery answers its watch with the only archive
   * server.
   *
   * @param change applied to the text of the configuration
   */
  private EdgeNode startServing(String server, UnaryOperator<String> change) throws Exception {
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

  /** Allows one connection to the archive server: a second attempt waits for it. */
  private EdgeNode startWithSingleConnection(FakePeer server) throws Exception {
    return startServing(
        server.address(),
        text ->
            text.replace("\"counter\"", "\"connections\":{\"per-archive-server\":1},\"counter\""));
  }

  /** Allows 15 s for a connect to the archive server, so that a pending one does not time out. */
  private EdgeNode startWithLongConnectTimeout(ServerSocket server) throws Exception {
    return startServing(
        "127.0.0.1:" + server.getLocalPort(),
        text ->
            text.replace(
                "\"connect-timeout-ns\": 250000000", "\"connect-timeout-ns\": 15000000000"));
  }

  private static void awaitMetric(EdgeNode node, String metricLine) {
    while (!node.metrics.render().contains(metricLine + "\n")) {
      assertFalse(Thread.interrupted(), node.metrics.render());
    }
  }

  private static String head(String id, String version, String lengthHeader) {
    StringBuilder text = new StringBuilder("POST /api ").append(version).append("\r\n");
    headers(id, "order", "20000")
        .forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
    return text.append(lengthHeader).append("\r\n\r\n").toString();
  }

  private static void send(Socket client, String id, ClientInput input) throws IOException {
    client.getOutputStream().write(requestText(id, input).getBytes(StandardCharsets.US_ASCII));
  }

  private static String requestText(String id, ClientInput input) {
    return switch (input) {
      case SINGLE_REQUEST -> head(id, "HTTP/1.1", "Content-Length: 4") + "book";
      case FEW_PIPELINED ->
          requestText(id, ClientInput.SINGLE_REQUEST)
              + requestText(id + "-more", ClientInput.SINGLE_REQUEST).repeat(5);
      case MANY_PIPELINED ->
          requestText(id, ClientInput.SINGLE_REQUEST)
              + requestText(id + "-more", ClientInput.SINGLE_REQUEST).repeat(400);
      case LARGE_PIPELINED ->
          requestText(id, ClientInput.SINGLE_REQUEST)
              + head(id + "-more", "HTTP/1.1", "Content-Length: 60000")
              + "x".repeat(60_000);
      case SEVERAL_LARGE_PIPELINED ->
          requestText(id, ClientInput.SINGLE_REQUEST)
              + (head(id + "-more", "HTTP/1.1", "Content-Length: 60000") + "x".repeat(60_000))
                  .repeat(6);
      case BODY -> head(id, "HTTP/1.1", "Content-Length: 150000") + "x".repeat(150_000);
      case TRUNCATED_BODY -> head(id, "HTTP/1.1", "Content-Length: 300000") + "x".repeat(150_000);
      case LONG_BODY -> head(id, "HTTP/1.1", "Content-Length: 500000") + "x".repeat(500_000);
      case TRUNCATED_LONG_BODY ->
          head(id, "HTTP/1.1", "Content-Length: 500000") + "x".repeat(400_000);
      case CHUNKED_BODY ->
          head(id, "HTTP/1.1", "Transfer-Encoding: chunked")
              + ("4e20\r\n" + "x".repeat(20_000) + "\r\n").repeat(25)
              + "0\r\n\r\n";
      case HTTP_1_0_BODY -> head(id, "HTTP/1.0", "Content-Length: 150000") + "x".repeat(150_000);
      case HTTP_1_0_LONG_BODY ->
          head(id, "HTTP/1.0", "Content-Length: 500000") + "x".repeat(500_000);
    };
  }

  /** Closes the socket, with a reset on request; returns when, by the nanosecond clock. */
  private static long disconnect(Socket client, boolean reset) throws IOException {
    client.setSoLinger(reset, 0);
    client.close();
    return System.nanoTime();
  }

  private static void awaitDetectionTime(long disconnectedNanos) {
    while (System.nanoTime() - disconnectedNanos <= MAX_DETECTION_NANOS) {
      Thread.onSpinWait();
    }
  }

  /** An archive server whose only connection waits for the response to a first request. */
  private final class OccupiedServer {
    private final CompletableFuture<Void> responsePermit = new CompletableFuture<>();
    private final FakePeer server = peerAnsweringAfter(responsePermit, "held");
    private final EdgeNode node = startWithSingleConnection(server);
    private final Socket first = client(node);

    OccupiedServer() throws Exception {
      sendOrder(first, "t-1");
      server.next();
    }

    /** Connects a client whose request waits for the connection. */
    Socket clientWaitingWith(String id, ClientInput input) throws IOException {
      Socket waiting = client(node);
      send(waiting, id, input);
      awaitMetric(node, "app.in_progress=2");
      return waiting;
    }

    /**
     * Checks, once the connection is free, that the next request on it is a further client's and
     * not that of the client that disconnected.
     */
    void checkNextRequestIsNotThatOf(ClientInput input, boolean reset) throws Exception {
      assertEquals("held", FakePeer.read(first).body());
      awaitMetric(node, "app.in_progress=0");
      Socket third = client(node);
      sendOrder(third, "t-3");
      assertEquals("held", FakePeer.read(third).body());
      recordUnlessExpected(server.next(), "t-3", input, reset);
    }
  }

  /**
   * Guards against an attempt for a client that disconnected during a stall, behind so much further
   * input that the node reads only a part of it after the stall.
   */
  @Test
  void noAttemptStartsForAClientThatDisconnectedBeforeReadingPaused() throws Exception {
    OccupiedServer occupied = new OccupiedServer();
    Socket second = occupied.clientWaitingWith("t-gone", ClientInput.SINGLE_REQUEST);
    CompletableFuture<Void> stallEnd = new CompletableFuture<>();
    occupied.node.loop.execute(stallEnd::join);
    send(second, "t-more", ClientInput.MANY_PIPELINED);
    awaitDetectionTime(disconnect(second, false));
    occupied.responsePermit.complete(null);
    stallEnd.complete(null);
    occupied.checkNextRequestIsNotThatOf(ClientInput.MANY_PIPELINED, false);
  }

  /** The connection that the attempt waits for becomes free after the client disconnected. */
  @Test
  void noAttemptStartsOnAConnectionFreedAfterTheClientDisconnected() throws Exception {
    for (ClientInput input : ClientInput.values()) {
      for (boolean reset : new boolean[] {false, true}) {
        OccupiedServer occupied = new OccupiedServer();
        Socket second = occupied.clientWaitingWith("t-gone", input);
        awaitDetectionTime(disconnect(second, reset));
        occupied.responsePermit.complete(null);
        occupied.checkNextRequestIsNotThatOf(input, reset);
      }
    }
  }

  @Test
  void noAttemptStartsIfTheCounterAnswersAfterTheClientDisconnected() throws Exception {
    for (ClientInput input : ClientInput.values()) {
      for (boolean reset : new boolean[] {false, true}) {
        CompletableFuture<Void> responsePermit = new CompletableFuture<>();
        counterScript =
            m -> {
              responsePermit.join();
              m.answer(FakePeer.ok("", "1"));
            };
        FakePeer server = peer(m -> m.answer(FakePeer.ok("", "done")));
        EdgeNode node =
            startServing(
                server.address(),
                text ->
                    text.replace("\"count-wait-ns\": 50000000", "\"count-wait-ns\": 4000000000"));
        counter.received.clear();
        Socket client = client(node);
        // With spread=2 the customer's requests reach two nodes, and this one has not yet received
        // the customer's usage: it calls the counter before the first attempt.
        client
            .getOutputStream()
            .write(
                requestText("t-gone", input)
                    .replace("spread=1", "spread=2")
                    .getBytes(StandardCharsets.US_ASCII));
        counter.next();
        awaitMetric(node, "app.in_progress=1");
        assertTrue(server.received.isEmpty(), "forwarded before the counter answered");
        awaitDetectionTime(disconnect(client, reset));
        responsePermit.complete(null);
        awaitMetric(node, "app.in_progress=0");
        Socket next = client(node);
        sendOrder(next, "t-next");
        assertEquals("done", FakePeer.read(next).body());
        recordUnlessExpected(server.next(), "t-next", input, reset);
      }
    }
  }

  /** The first attempt fails; the connect of its retry completes after the disconnect. */
  @Test
  void noRetryStartsOnAConnectionOpenedAfterTheClientDisconnected() throws Exception {
    for (ClientInput input :
        List.of(
            ClientInput.SINGLE_REQUEST,
            ClientInput.FEW_PIPELINED,
            ClientInput.MANY_PIPELINED,
            ClientInput.SEVERAL_LARGE_PIPELINED)) {
      boolean reset = input == ClientInput.SEVERAL_LARGE_PIPELINED;
      ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      toClose.add(server);
      EdgeNode node = startWithLongConnectTimeout(server);
      Socket client = client(node);
      send(client, "t-gone", input);
      Socket first = server.accept();
      assertEquals("t-gone", FakePeer.read(first).headers().get("x-trace-id"));
      Set<Integer> backlogPorts = fillBacklog(server);
      disconnect(first, true);
      awaitMetric(node, "app.connections.archive_servers.opened=2");
      node.loop.submit(() -> {}).get();
      disconnectAndCheckNextRequest(node, server, backlogPorts, client, reset, input);
    }
  }

  /** The connect of the first attempt completes after the disconnect. */
  @Test
  void noFirstAttemptStartsOnAConnectionOpenedAfterTheClientDisconnected() throws Exception {
    for (ClientInput input : ClientInput.values()) {
      boolean reset = input == ClientInput.TRUNCATED_BODY || input == ClientInput.LONG_BODY;
      ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      toClose.add(server);
      Set<Integer> backlogPorts = fillBacklog(server);
      EdgeNode node = startWithLongConnectTimeout(server);
      Socket client = client(node);
      send(client, "t-gone", input);
      awaitMetric(node, "app.connections.archive_servers.opened=1");
      node.loop.submit(() -> {}).get();
      disconnectAndCheckNextRequest(node, server, backlogPorts, client, reset, input);
    }
  }

  /**
   * Disconnects the client, lets the pending connect complete, and checks that the first request on
   * the new connection is the next client's.
   */
  private void disconnectAndCheckNextRequest(
      EdgeNode node,
      ServerSocket server,
      Set<Integer> backlogPorts,
      Socket client,
      boolean reset,
      ClientInput input)
      throws Exception {
    awaitDetectionTime(disconnect(client, reset));
    Socket opened;
    do {
      opened = server.accept();
    } while (backlogPorts.contains(opened.getPort()));
    opened.setSoTimeout(10_000);
    awaitMetric(node, "app.in_progress=0");
    sendRequest(client(node), "POST /api", headers("t-next", "order", "20000"), "book");
    recordUnlessExpected(FakePeer.read(opened), "t-next", input, reset);
  }

  /**
   * Connects until the backlog accepts no further connection. Returns the local ports of these
   * connections.
   */
  private Set<Integer> fillBacklog(ServerSocket server) throws IOException {
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
   * The event loop stalls while the client closes and the connection that its attempt waits for
   * becomes free: both are read in one iteration of the loop.
   */
  @Tag("known-red")
  @Test
  void noAttemptStartsAfterTheClientDisconnectedDuringAnEventLoopStall() throws Exception {
    for (boolean reset : new boolean[] {false, true}) {
      List<CompletableFuture<Void>> responsePermits = new ArrayList<>();
      FakePeer server =
          peer(
              m -> {
                CompletableFuture<Void> responsePermit = new CompletableFuture<>();
                synchronized (responsePermits) {
                  responsePermits.add(responsePermit);
                }
                responsePermit.join();
                m.answer(FakePeer.ok("", "held"));
              });
      EdgeNode node = startWithSingleConnection(server);
      for (int round = 0; round < 10; round++) {
        Socket first = client(node);
        sendOrder(first, "t-" + round);
        assertEquals("t-" + round, server.next().headers().get("x-trace-id"));
        Socket second = client(node);
        sendOrder(second, "t-gone-" + round);
        awaitMetric(node, "app.in_progress=2");
        CompletableFuture<Void> stallBegun = new CompletableFuture<>();
        CompletableFuture<Void> stallEnd = new CompletableFuture<>();
        node.loop.execute(
            () -> {
              stallBegun.complete(null);
              stallEnd.join();
            });
        stallBegun.join();
        long disconnectedNanos = disconnect(second, reset);
        CompletableFuture<Void> responsePermit;
        do {
          synchronized (responsePermits) {
            responsePermit = responsePermits.size() > round ? responsePermits.get(round) : null;
          }
        } while (responsePermit == null);
        responsePermit.complete(null);
        awaitDetectionTime(disconnectedNanos);
        stallEnd.complete(null);
        assertEquals("held", FakePeer.read(first).body());
        awaitMetric(node, "app.in_progress=0");
        if (!server.received.isEmpty()) {
          recordUnlessExpected(server.next(), "none", ClientInput.SINGLE_REQUEST, reset);
          // The wrong attempt occupies the only connection: no further round is possible.
          return;
        }
      }
    }
  }

  /**
   * A client that is still connected is served. If reading from it is paused, the node probes it
   * with at most 4 interim responses, because some clients accept no more; otherwise with none.
   */
  @Tag("known-red")
  @Test
  void aConnectedClientIsServedWhileReadingIsPaused() throws Exception {
    for (ClientInput input :
        List.of(
            ClientInput.SINGLE_REQUEST,
            ClientInput.FEW_PIPELINED,
            ClientInput.MANY_PIPELINED,
            ClientInput.LARGE_PIPELINED,
            ClientInput.BODY,
            ClientInput.LONG_BODY)) {
      CompletableFuture<Void> responsePermit = new CompletableFuture<>();
      FakePeer server =
          peer(
              m -> {
                responsePermit.join();
                m.answer(FakePeer.ok("Connection: close\r\n", "held"));
                m.socket().close();
              });
      EdgeNode node = startWithSingleConnection(server);
      Socket first = client(node);
      sendOrder(first, "t-1");
      server.next();
      Socket second = client(node);
      send(second, "t-2", input);
      awaitMetric(node, "app.in_progress=2");
      awaitDetectionTime(System.nanoTime());
      responsePermit.complete(null);
      assertEquals("held", FakePeer.read(first).body());
      int interimResponses = 0;
      FakePeer.Message response = FakePeer.read(second);
      for (; response.startLine().contains(" 100 "); response = FakePeer.read(second)) {
        interimResponses++;
      }
      assertEquals("200", status(response), input.toString());
      boolean probed = input == ClientInput.MANY_PIPELINED || input == ClientInput.LONG_BODY;
      assertTrue(
          probed ? interimResponses >= 1 && interimResponses <= 4 : interimResponses == 0,
          input + ": " + interimResponses + " interim responses");
    }
  }

  /**
   * An HTTP/1.0 client cannot be probed, as it knows no interim responses: the node rejects its
   * request and starts no attempt.
   */
  @Test
  void anHttp10ClientIsRejectedInsteadOfForwardedWhileReadingIsPaused() throws Exception {
    OccupiedServer occupied = new OccupiedServer();
    Socket second = occupied.clientWaitingWith("t-2", ClientInput.HTTP_1_0_LONG_BODY);
    awaitDetectionTime(System.nanoTime());
    occupied.responsePermit.complete(null);
    assertEquals("held", FakePeer.read(occupied.first).body());
    assertEquals("503", status(FakePeer.read(second)));
    assertTrue(occupied.server.received.isEmpty());
  }
}

package edgegateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLSocketFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Complete responses that the node has passed to the channel and that the socket has not accepted,
 * because their client does not read yet. Nothing but the client's deadline and a lack of progress
 * may end their connection.
 */
@Timeout(60)
class UnwrittenResponseTest extends NodeTest {
  /** Responses that are short enough to be buffered completely. */
  private static final int RESPONSE_BYTES = 60_000;

  /** Together more than the kernel buffers for one connection on loopback. */
  private static final int RESPONSE_COUNT = 84;

  /** More than the kernel buffers for one connection on loopback. */
  private static final int LONG_BYTES = 8_000_000;

  private static final int SLOW_READ_BYTES_PER_MILLI = 64;
  private static final int SLOW_READ_STEP_MILLIS = 100;
  private static final int SLOW_READ_MILLIS = 12_000;

  /** What happens to the connection while responses are unwritten. */
  private interface Event {
    void happen(EdgeNode node, Socket client) throws Exception;
  }

  private EdgeNode startNodeWithLimits(String connectionLimits) throws Exception {
    return startNodeWith("\"connections\":" + connectionLimits);
  }

  /** Starts a node with a further entry in its configuration. */
  private EdgeNode startNodeWith(String entry) throws Exception {
    String body = "x".repeat(RESPONSE_BYTES);
    FakePeer server = peer(message -> answer(message, body));
    return startNode(
        config(member("s-0", server.address(), "Ready", 0))
            .replace("\"counter\"", entry + ",\"counter\""));
  }

  private static void answer(FakePeer.Message request, String body) throws IOException {
    if (!request.startLine().contains("?cut")) {
      request.answer(FakePeer.ok("", body));
      return;
    }
    request.answer("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + "x".repeat(100_000));
    request.socket().close();
  }

  private Socket clientWithSmallBuffer(EdgeNode node) throws IOException {
    Socket client = connectWithSmallBuffer(node, 20_000);
    toClose.add(client);
    return client;
  }

  /** Connects a client that has its response; its close tells that idle connections were closed. */
  private Socket idleClient(EdgeNode node) throws IOException {
    Socket idle = client(node);
    assertEquals("200", exchangeOrder(idle, "t-idle"));
    return idle;
  }

  private Socket clientBehindItsResponses(EdgeNode node) throws IOException {
    Socket client = clientWithSmallBuffer(node);
    sendRequestsWithoutReading(node, client);
    return client;
  }

  /**
   * Sends requests one after the other and reads none of the responses, though each was passed to
   * the client's channel completely.
   */
  private static void sendRequestsWithoutReading(EdgeNode node, Socket client) throws IOException {
    for (int i = 1; i <= RESPONSE_COUNT; i++) {
      sendRequest(client, "GET /api", headers("t-" + i, "lookup", "20000"), "");
      while (metric(node, "handled.lookup.passed") < i) {
        assertTrue(!Thread.interrupted(), node.metrics.render());
      }
    }
    assertTrue(
        metric(node, "connections.held_bytes") > RESPONSE_BYTES,
        "the kernel accepted all responses, so the test proves nothing");
  }

  private static void assertAllResponsesArrive(Socket client) throws IOException {
    for (int i = 1; i <= RESPONSE_COUNT; i++) {
      FakePeer.Message response = FakePeer.read(client);
      assertNotNull(response, "the connection ended before response " + i);
      assertEquals("200", status(response));
      assertEquals(RESPONSE_BYTES, response.body().length(), "bytes of response " + i);
    }
  }

  private void assertNothingIsCutBy(Event event, String connectionLimits) throws Exception {
    EdgeNode node = startNodeWithLimits(connectionLimits);
    Socket client = clientBehindItsResponses(node);
    event.happen(node, client);
    assertAllResponsesArrive(client);
    assertEquals(0, metric(node, "connections.responses_cut"));
  }

  /**
   * Reads at the lowest rate that peers may read at, so slowly that the kernel's buffer stays full.
   *
   * @param stepMillis the time between two reads
   * @return how many bytes it read
   */
  private static int readSlowly(InputStream in, int stepMillis) throws Exception {
    int bytes = 0;
    for (int i = 0; i < SLOW_READ_MILLIS / stepMillis; i++) {
      Thread.sleep(stepMillis);
      bytes += in.readNBytes(SLOW_READ_BYTES_PER_MILLI * stepMillis).length;
    }
    return bytes;
  }

  /** Guards against taking a client that reads at 64 kB a second for one that does not read. */
  @ParameterizedTest
  @ValueSource(ints = {SLOW_READ_STEP_MILLIS, 3_000})
  void aLongResponseIsNotCutThoughItsClientReadsSlowly(int stepMillis) throws Exception {
    FakePeer server = peer(message -> message.answer(FakePeer.ok("", "x".repeat(LONG_BYTES))));
    EdgeNode node = startNode(server);
    Socket client = client(node);
    sendRequest(client, "GET /api", headers("t-1", "lookup", "6000"), "");
    InputStream in = client.getInputStream();
    String head = readHead(in);
    assertTrue(head.startsWith("HTTP/1.1 200"), head);
    int slowlyRead = readSlowly(in, stepMillis);
    assertEquals(
        LONG_BYTES - slowlyRead,
        in.readNBytes(LONG_BYTES - slowlyRead).length,
        "bytes read after " + slowlyRead);
  }

  /** The same in the other direction: an archive server may read as slowly as a client. */
  @Test
  void aLongRequestIsNotCutThoughItsServerReadsSlowly() throws Exception {
    CompletableFuture<Integer> received = new CompletableFuture<>();
    ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    toClose.add(server);
    FakePeer.startDaemon(
        () -> {
          try (Socket socket = server.accept()) {
            InputStream in = socket.getInputStream();
            readHead(in);
            int slowlyRead = readSlowly(in, SLOW_READ_STEP_MILLIS);
            received.complete(slowlyRead + in.readNBytes(LONG_BYTES - slowlyRead).length);
            socket
                .getOutputStream()
                .write(FakePeer.ok("", "x").getBytes(StandardCharsets.US_ASCII));
            socket.getInputStream().read();
          } catch (IOException e) {
            received.completeExceptionally(e);
            throw e;
          } catch (Exception e) {
            received.completeExceptionally(e);
          }
        });
    String address = "127.0.0.1:" + server.getLocalPort();
    EdgeNode node = startNode(config(member("s-0", address, "Ready", 0)));
    Socket client = client(node);
    sendRequest(client, "POST /api", headers("t-1", "order", "50000"), "x".repeat(LONG_BYTES));
    assertEquals(LONG_BYTES, received.get(60, TimeUnit.SECONDS));
    assertEquals("200", status(FakePeer.read(client)));
  }

  /** As the test above, for complete responses that wait to be written. */
  @Test
  void completeResponsesAreNotCutThoughTheirClientReadsSlowly() throws Exception {
    EdgeNode node = startNodeWithLimits("{}");
    Socket client = clientBehindItsResponses(node);
    InputStream in = client.getInputStream();
    int slowlyRead = readSlowly(in, SLOW_READ_STEP_MILLIS);
    int expected = RESPONSE_COUNT * RESPONSE_BYTES;
    assertEquals(expected - slowlyRead, in.readNBytes(expected - slowlyRead).length);
    assertEquals(0, metric(node, "connections.responses_cut"));
  }

  /** Guards against a planned restart that cuts responses their clients are still reading. */
  @Test
  void stoppingTheNodeCutsNoResponse() throws Exception {
    CompletableFuture<CompletableFuture<Void>> stopped = new CompletableFuture<>();
    assertNothingIsCutBy(
        (node, client) -> {
          Socket idle = idleClient(node);
          stopped.complete(node.stop());
          assertNull(FakePeer.read(idle));
        },
        "{}");
    // Nor does the process wait for a client that has its responses.
    stopped.join().join();
  }

  /** Guards against a planned restart that cuts responses one second after a TLS close began. */
  @Test
  void stoppingTheNodeCutsNoResponseOverTls(@TempDir Path folder) throws Exception {
    TestCertificate certificate = new TestCertificate(folder);
    SSLSocketFactory factory = certificate.trustingContext().getSocketFactory();
    EdgeNode node = startNodeWith("\"tls\":" + certificate.tlsSettings(8));
    Socket client = factory.createSocket(clientWithSmallBuffer(node), "127.0.0.1", 0, true);
    sendRequestsWithoutReading(node, client);
    Socket idle = factory.createSocket(client(node), "127.0.0.1", 0, true);
    assertEquals("200", exchangeOrder(idle, "t-idle"));
    CompletableFuture<Void> stopped = node.stop();
    assertNull(FakePeer.read(idle));
    // Longer than a TLS close waits for its last records.
    node.loop.schedule(() -> {}, 1_500, TimeUnit.MILLISECONDS).get();
    assertAllResponsesArrive(client);
    assertEquals(0, metric(node, "connections.responses_cut"));
    stopped.get();
  }

  /** Guards against an operator's drain that cuts responses their clients are still reading. */
  @Test
  void drainingTheNodeCutsNoResponse() throws Exception {
    assertNothingIsCutBy(
        (node, client) -> {
          Socket idle = idleClient(node);
          node.loop.submit(() -> node.clients.setDraining(true)).get();
          assertNull(FakePeer.read(idle));
        },
        "{}");
  }

  /** Guards against an idle timeout that counts while the client is still reading. */
  @Test
  void theIdleTimeoutCutsNoResponse() throws Exception {
    assertNothingIsCutBy(
        (node, client) -> {
          Socket idle = idleClient(node);
          assertNull(FakePeer.read(idle));
        },
        "{\"idle-ms\":2000}");
  }

  /** Guards against a head timeout that cuts the response before an incomplete request. */
  @Test
  void anIncompleteRequestBehindAResponseDoesNotCutIt() throws Exception {
    assertNothingIsCutBy(
        (node, client) -> {
          client.getOutputStream().write("GET /api HT".getBytes());
          Socket other = client(node);
          other.getOutputStream().write("GET /api HT".getBytes());
          assertNull(FakePeer.read(other));
        },
        "{}");
  }

  /** Guards against taking the end of the client's input for its leaving while it still reads. */
  @Test
  void aHalfClosedClientGetsTheResponsesThatAreNotWritten() throws Exception {
    assertNothingIsCutBy(
        (node, client) -> {
          client.shutdownOutput();
          awaitInputEnd(node);
        },
        "{}");
  }

  /** Guards against an incomplete last request that costs the client its earlier responses. */
  @Test
  void aHalfCloseWithinARequestDoesNotCutTheResponsesBefore() throws Exception {
    assertNothingIsCutBy(
        (node, client) -> {
          client
              .getOutputStream()
              .write("POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nha".getBytes());
          client.shutdownOutput();
          awaitInputEnd(node);
        },
        "{}");
  }

  /** Guards against a response that fails on its way and takes the ones before it along. */
  @Test
  void aLaterResponseThatFailsDoesNotCutTheOnesBefore() throws Exception {
    assertNothingIsCutBy(
        (node, client) -> {
          sendRequest(client, "GET /api?cut", headers("t-cut", "lookup", "20000"), "");
          awaitMetric(node, "handled.lookup.bad_gateway", 1);
        },
        "{}");
  }

  private static void awaitInputEnd(EdgeNode node) {
    while (metric(node, "connections.input_ended") == 0
        && metric(node, "connections.half_closed") == 0) {
      assertTrue(!Thread.interrupted(), node.metrics.render());
    }
  }

  /** Guards against a connection that rests for the idle timeout though its client is gone. */
  @Test
  void aConnectionHalfClosedDuringAStreamedResponseEndsWithIt() throws Exception {
    CompletableFuture<Void> halfClosed = new CompletableFuture<>();
    FakePeer server =
        peer(
            message -> {
              message.answer("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n");
              message.answer("x".repeat(100_000));
              halfClosed.join();
              message.answer("x".repeat(100_000));
            });
    EdgeNode node = startNode(server);
    Socket client = client(node);
    sendRequest(client, "GET /api", headers("t-1", "lookup", "20000"), "");
    client.setSoTimeout(5_000);
    byte[] firstPart = client.getInputStream().readNBytes(50_000);
    client.shutdownOutput();
    awaitInputEnd(node);
    halfClosed.complete(null);
    byte[] rest = client.getInputStream().readAllBytes();
    assertTrue(firstPart.length + rest.length > 200_000, "bytes after the first: " + rest.length);
  }

  /** Guards against a client that leaves and keeps its connection and what was held for it. */
  @Test
  void aClientThatLeavesFreesWhatItsResponsesHeld() throws Exception {
    EdgeNode node = startNodeWithLimits("{}");
    Socket client = clientBehindItsResponses(node);
    client.close();
    awaitMetric(node, "connections.held_bytes", 0);
    awaitMetric(node, "connections.open", 0);
    assertEquals(0, metric(node, "in_progress"));
  }

  /**
   * Guards against responses to clients that have left which are never released, so that in the end
   * every request with a body is rejected. The lengths make any byte the last one of a read.
   */
  @Test
  void responsesToClientsThatHaveLeftHoldNothing() throws Exception {
    CompletableFuture<Void> clientsLeft = new CompletableFuture<>();
    FakePeer server =
        peer(
            message -> {
              clientsLeft.join();
              int length = 64_000 + 500 * Integer.parseInt(message.headers().get("x-trace-id"));
              message.answer(FakePeer.ok("", "x".repeat(length)));
            });
    EdgeNode node = startNode(config(asManyMembers(server)));
    int count = 64;
    for (int i = 0; i < count; i++) {
      Socket client = client(node);
      sendRequest(client, "GET /api", headers(Integer.toString(i), "lookup", "20000"), "");
      server.next();
      client.close();
    }
    awaitMetric(node, "connections.open", 0);
    clientsLeft.complete(null);
    Socket present = client(node);
    sendRequest(present, "GET /api", headers("100", "lookup", "20000"), "");
    assertEquals(114_000, FakePeer.read(present).body().length());
    awaitMetric(node, "in_progress", 0);
    awaitMetric(node, "connections.held_bytes", 0);
  }
}

package edgegateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.node.config.InvalidConfigException;
import edgegateway.node.config.NodeConfigParser;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.util.ResourceLeakDetector;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Client and archive server connections of an edge node over loopback, below and at limits. */
@Timeout(180)
class ConnectionsTest extends NodeTest {
  @TempDir Path folder;

  /** Starts a node with a {@code connections} object in its configuration. */
  private EdgeNode startWithLimits(String limits, FakePeer... servers) throws Exception {
    String[] members = new String[servers.length];
    for (int i = 0; i < members.length; i++) {
      members[i] = member("s-" + i, servers[i].address(), "Ready", 0);
    }
    return startNode(
        config(members).replace("\"counter\"", "\"connections\":" + limits + ",\"counter\""),
        folder);
  }

  /** Connects from the client address 127.0.0.{@code hostNumber}. */
  private static Socket connectFrom(int hostNumber, InetSocketAddress to) throws IOException {
    Socket socket = new Socket();
    socket.bind(new InetSocketAddress("127.0.0." + hostNumber, 0));
    socket.connect(to);
    socket.setSoTimeout(60_000);
    return socket;
  }

  private Socket connectFrom(int hostNumber, EdgeNode node) throws IOException {
    Socket socket = connectFrom(hostNumber, node.address());
    toClose.add(socket);
    return socket;
  }

  private static void reset(Socket socket) throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  /** Reads the response: its status, "closed" if the connection ended without one, or "timeout". */
  private static String readOutcome(Socket socket) throws IOException {
    try {
      FakePeer.Message answer = FakePeer.read(socket);
      return answer == null ? "closed" : status(answer);
    } catch (SocketTimeoutException e) {
      return "timeout";
    } catch (IOException e) {
      return "closed";
    }
  }

  /**
   * Guards against idle connections of one client address that occupy all slots, or that make the
   * node evict the oldest connection of another address.
   */
  @Test
  void idleConnectionsOfAGreedyAddressAreEvictedForOtherAddresses() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x")));
    EdgeNode node = startWithLimits("{\"clients\":16}", server);
    Socket lone = connectFrom(2, node);
    assertEquals("200", exchangeOrder(lone, "t-lone"));
    List<Socket> greedy = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      greedy.add(connectFrom(1, node));
    }
    for (int i = 0; i < 8; i++) {
      Socket other = connectFrom(3 + i, node);
      assertEquals("200", exchangeOrder(other, "t-" + i));
      other.close();
    }
    assertEquals(
        "200", exchangeOrder(lone, "t-lone-2"), "an address with one connection was evicted");
    for (Socket idle : greedy) {
      assertEquals("closed", readOutcome(idle));
    }
    assertEquals("200", exchangeOrder(connectFrom(1, node), "t-last"));
  }

  /** A connection whose request has arrived but is not read yet is not evicted. */
  @Test
  void anEvictionLosesNoRequestThatHasAlreadyArrived() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x")));
    EdgeNode node = startWithLimits("{\"clients\":12}", server);
    List<Socket> established = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      established.add(connectFrom(1, node));
      assertEquals("200", exchangeOrder(established.get(i), "t-" + i));
    }
    // Past the minimum idle time of 2 s, after which connections may be evicted.
    Thread.sleep(2_100);
    CompletableFuture<Void> stallEnd = new CompletableFuture<>();
    node.loop.execute(stallEnd::join);
    for (int i = 0; i < 12; i += 2) {
      sendOrder(established.get(i), "u-" + i);
    }
    List<Socket> newcomers = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      newcomers.add(connectFrom(2, node));
      sendOrder(newcomers.get(i), "n-" + i);
    }
    stallEnd.complete(null);
    for (int i = 0; i < 12; i += 2) {
      assertEquals("200", readOutcome(established.get(i)));
    }
    for (Socket newcomer : newcomers) {
      assertEquals("200", readOutcome(newcomer));
    }
    assertTrue(metric(node, "connections.evicted") > 0);
  }

  @Test
  void overCapacityRequestsAreRejectedAndHealthChecksAnswered() throws Exception {
    CompletableFuture<Void> responsePermit = new CompletableFuture<>();
    FakePeer server = peerAnsweringAfter(responsePermit, "x");
    EdgeNode node = startWithLimits("{\"clients\":8}", server);
    List<Socket> busy = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      busy.add(connectFrom(1, node));
      sendOrder(busy.get(i), "t-" + i);
    }
    awaitMetric(node, "in_progress", 8);
    Socket rejected = connectFrom(1, node);
    sendRequest(rejected, "POST /api", headers("rejected", "order", "20000"), "book");
    FakePeer.Message answer = FakePeer.read(rejected);
    assertEquals("503", status(answer));
    assertEquals("close", answer.headers().get("connection"));
    assertNull(FakePeer.read(rejected));
    Socket expectContinue = connectFrom(1, node);
    expectContinue
        .getOutputStream()
        .write(
            ("POST /api HTTP/1.1\r\n"
                    + headerLines(headers("long", "order", "20000"))
                    + "Expect: 100-continue\r\nContent-Length: 60000\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8));
    assertEquals(
        "503", status(FakePeer.read(expectContinue)), "must be rejected before its body arrives");
    Socket malformed = connectFrom(1, node);
    sendRequest(malformed, "POST /api", Map.of(), "");
    assertEquals("400", readOutcome(malformed));
    Socket healthCheck = connectFrom(1, node);
    sendRequest(healthCheck, "GET /_health", Map.of(), "");
    assertEquals(
        "503",
        status(FakePeer.read(healthCheck)),
        "health check of a node that is not admitted yet");
    assertEquals(1 + 1 + 1 + 1, metric(node, "connections.refused"));
    assertEquals(2, metric(node, "handled.order.dropped"));
    responsePermit.complete(null);
    for (Socket socket : busy) {
      assertEquals("200", readOutcome(socket));
    }
  }

  private static String headerLines(Map<String, String> headers) {
    StringBuilder text = new StringBuilder();
    headers.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
    return text.toString();
  }

  /**
   * 2,000 new connections at once: requests in flight are answered, and no new client waits without
   * a response or a close.
   */
  @Test
  void aSurgeLosesNoRequestInFlightAndAnswersEveryClient() throws Exception {
    surge("serving");
  }

  @Test
  void aSurgeInADrainAnswersEveryClient() throws Exception {
    surge("drain");
  }

  @Test
  void aSurgeInAnUpgradeAnswersEveryClient() throws Exception {
    surge("upgrade");
  }

  /**
   * Opens 2,000 connections from 4 addresses while 10 requests are in flight.
   *
   * @param phase "serving"; "drain", where the node is stopped after about 500 connections; or
   *     "upgrade", where a successor listens at the same address before that
   */
  private void surge(String phase) throws Exception {
    CompletableFuture<Void> responsePermit = new CompletableFuture<>();
    FakePeer server =
        peer(
            m -> {
              if (m.headers().get("x-trace-id").startsWith("in-flight")) {
                responsePermit.join();
              }
              m.answer(FakePeer.ok("", "x"));
            });
    String[] members = asManyMembers(server);
    EdgeNode node = startNode(config(members), folder);
    List<Socket> inFlight = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      inFlight.add(connectFrom(9, node));
      sendOrder(inFlight.get(i), "in-flight-" + i);
    }
    awaitMetric(node, "in_progress", 10);
    InetSocketAddress at = node.address();
    EdgeNode successor = null;
    if (phase.equals("upgrade")) {
      successor =
          new EdgeNode(
              NodeConfigParser.parse(
                  config(members).replace("127.0.0.1:0", "127.0.0.1:" + at.getPort())),
              folder);
      toClose.add(successor);
      successor.startAsSuccessor();
    }
    List<Future<String>> outcomes = new ArrayList<>();
    ExecutorService callers = Executors.newFixedThreadPool(64);
    toClose.add(callers::shutdownNow);
    CompletableFuture<Void> surgeBegun = new CompletableFuture<>();
    for (int i = 0; i < 2_000; i++) {
      int number = i;
      outcomes.add(
          callers.submit(
              () -> {
                if (number == 500) {
                  surgeBegun.complete(null);
                }
                try (Socket socket = connectFrom(1 + number % 4, at)) {
                  sendRequest(socket, "GET /api", headers("s-" + number, "lookup", "20000"), "");
                  return readOutcome(socket);
                } catch (IOException e) {
                  // The listening socket or the connection was closed before the request was sent.
                  return "closed";
                }
              }));
    }
    surgeBegun.get();
    CompletableFuture<Void> stopped = null;
    if (!phase.equals("serving")) {
      stopped = node.stop();
    }
    Map<String, Integer> counts = new TreeMap<>();
    for (Future<String> outcome : outcomes) {
      counts.merge(outcome.get(), 1, Integer::sum);
    }
    assertFalse(counts.containsKey("timeout"), counts.toString());
    if (!phase.equals("drain")) {
      assertTrue(counts.get("200") > 1_000, counts.toString());
    }
    responsePermit.complete(null);
    for (Socket socket : inFlight) {
      assertEquals("200", readOutcome(socket));
    }
    if (stopped != null) {
      stopped.get(60, TimeUnit.SECONDS);
    } else {
      awaitMetric(node, "connections.open", 10);
    }
  }

  /** Complete requests before a half-close are answered; a truncated one after them is dropped. */
  @Test
  void aHalfClosedClientGetsItsResponses() throws Exception {
    CompletableFuture<Void> responsePermit = new CompletableFuture<>();
    FakePeer server =
        peer(
            m -> {
              responsePermit.join();
              m.answer(FakePeer.ok("", m.headers().get("x-trace-id")));
            });
    EdgeNode node = startNode(server);
    Socket client = client(node);
    for (int i = 0; i < 3; i++) {
      sendOrder(client, "t-" + i);
    }
    client.shutdownOutput();
    Socket single = client(node);
    sendOrder(single, "t-single");
    single.shutdownOutput();
    awaitMetric(node, "connections.half_closed", 2);
    responsePermit.complete(null);
    for (int i = 0; i < 3; i++) {
      assertEquals("t-" + i, readFinalResponse(client).body());
    }
    assertNull(FakePeer.read(client));
    FakePeer.Message last = readFinalResponse(single);
    assertEquals("t-single", last.body());
    assertEquals("close", last.headers().get("connection"));
    assertNull(FakePeer.read(single));
    Socket truncated = client(node);
    sendOrder(truncated, "t-9");
    truncated.getOutputStream().write("POST /api HT".getBytes(StandardCharsets.UTF_8));
    truncated.shutdownOutput();
    assertEquals("t-9", readFinalResponse(truncated).body());
    assertNull(FakePeer.read(truncated));
    awaitMetric(node, "connections.open", 0);
  }

  /** Reads the final response; interim ones are skipped. */
  private static FakePeer.Message readFinalResponse(Socket from) throws IOException {
    FakePeer.Message answer = FakePeer.read(from);
    while (answer.startLine().contains(" 100 ")) {
      answer = FakePeer.read(from);
    }
    return answer;
  }

  @Test
  void aClosedClientIsDetectedAtOnce() throws Exception {
    FakePeer server = peer(m -> {});
    EdgeNode node = startNode(server);
    Socket client = client(node);
    sendOrder(client, "t-1");
    server.next();
    assertEquals(1, metric(node, "in_progress"));
    client.close();
    awaitMetric(node, "in_progress", 0);
    awaitMetric(node, "connections.open", 0);
  }

  /**
   * A client's reset in any state of its connection, and a close that crosses the response, affect
   * no other connection.
   */
  @Test
  void clientResetsAffectNoOtherConnection() throws Exception {
    CompletableFuture<Void> responsePermit = new CompletableFuture<>();
    FakePeer server =
        peer(
            m -> {
              if (m.headers().get("x-trace-id").startsWith("wait")) {
                responsePermit.join();
              }
              m.answer(FakePeer.ok("", "x".repeat(60_000)));
            });
    EdgeNode node = startNode(config(asManyMembers(server)));
    Socket unaffected = client(node);
    for (int i = 0; i < 20; i++) {
      CompletableFuture<Void> stallEnd = new CompletableFuture<>();
      node.loop.execute(stallEnd::join);
      reset(connectFrom(1, node));
      stallEnd.complete(null);
      Socket head = connectFrom(1, node);
      head.getOutputStream().write("POST /api HTTP/1.1\r\nHost".getBytes(StandardCharsets.UTF_8));
      reset(head);
      Socket upload = connectFrom(1, node);
      upload
          .getOutputStream()
          .write(
              ("POST /api HTTP/1.1\r\n"
                      + headerLines(headers("up-" + i, "order", "20000"))
                      + "Content-Length: 60000\r\n\r\nhalf")
                  .getBytes(StandardCharsets.UTF_8));
      reset(upload);
      Socket pending = connectFrom(1, node);
      sendOrder(pending, "wait-" + i);
      reset(pending);
      Socket answered = connectFrom(1, node);
      sendOrder(answered, "read-" + i);
      answered.getInputStream().read();
      reset(answered);
      Socket crossingClose = connectFrom(1, node);
      Map<String, String> last = headers("both-" + i, "order", "20000");
      last.put("Connection", "close");
      sendRequest(crossingClose, "POST /api", last, "book");
      crossingClose.close();
      assertEquals("200", exchangeOrder(unaffected, "unaffected-" + i));
    }
    responsePermit.complete(null);
    awaitMetric(node, "connections.open", 1);
    awaitMetric(node, "in_progress", 0);
    awaitMetric(node, "connections.held_bytes", 0);
  }

  @Test
  void aClientThatNeverReadsIsTimedOut() throws Exception {
    byte[] body = new byte[65_000];
    FakePeer server =
        peer(m -> m.answer(FakePeer.ok("", new String(body, StandardCharsets.US_ASCII))));
    EdgeNode node = startNode(server);
    Socket client = new Socket();
    client.setReceiveBufferSize(4_096);
    client.connect(node.address());
    toClose.add(client);
    for (int i = 0; i < 200; i++) {
      sendRequest(client, "GET /api", headers("t-" + i, "lookup", "20000"), "");
    }
    awaitMetric(node, "connections.timed_out.unread", 1);
    awaitMetric(node, "connections.open", 0);
    awaitMetric(node, "connections.held_bytes", 0);
  }

  @Test
  void oneCustomersBufferedBodiesLeaveCapacityForAnother() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x")));
    EdgeNode node = startWithLimits("{\"held-bytes\":400000}", server);
    List<Socket> greedy = new ArrayList<>();
    int rejected = 0;
    for (int i = 0; i < 12; i++) {
      Socket socket = client(node);
      greedy.add(socket);
      socket.setSoTimeout(300);
      socket
          .getOutputStream()
          .write(
              ("POST /api HTTP/1.1\r\n"
                      + headerLines(headers("g-" + i, "order", "20000"))
                      + "Content-Length: 60000\r\n\r\nsome of it")
                  .getBytes(StandardCharsets.UTF_8));
      if (!readOutcome(socket).equals("timeout")) {
        rejected++;
      } else if (i == 5) {
        Map<String, String> other = headers("other", "order", "20000");
        other.put("Cookie", "customer=0000000000000099");
        Socket otherCustomer = client(node);
        sendRequest(otherCustomer, "POST /api", other, "x".repeat(30_000));
        assertEquals("200", readOutcome(otherCustomer));
      }
    }
    assertTrue(rejected >= 6, rejected + " of 12 uploads were rejected");
    assertEquals(rejected, metric(node, "connections.bodies_refused"));
    for (Socket socket : greedy) {
      reset(socket);
    }
    awaitMetric(node, "connections.held_bytes", 0);
  }

  /**
   * The buffers for responses are bounded as well: over that bound responses are streamed to the
   * client, and none is lost.
   */
  @Test
  void responsesOverTheBufferCapacityAreStreamed() throws Exception {
    String body = "y".repeat(60_000);
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", body)));
    EdgeNode node = startWithLimits("{\"held-bytes\":131072}", server);
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 16; i++) {
      clients.add(client(node));
      sendRequest(clients.get(i), "GET /api", headers("t-" + i, "lookup", "20000"), "");
    }
    for (Socket client : clients) {
      assertTrue(body.equals(FakePeer.read(client).body()));
    }
    awaitMetric(node, "connections.held_bytes", 0);
  }

  /** An attempt on a server that accepts the connection but never answers ends by its timeout. */
  @Test
  void aConnectionToAnUnresponsiveUpstreamIsNotReused() throws Exception {
    FakePeer unresponsive =
        peer(
            m -> {
              if (!m.headers().get("x-trace-id").equals("t-1")) {
                m.answer(FakePeer.ok("", "x"));
              }
            });
    EdgeNode node = startNode(unresponsive);
    Socket client = client(node);
    sendRequest(client, "POST /api", headers("t-1", "strict", "2500"), "book");
    assertEquals("502", readOutcome(client));
    unresponsive.next();
    assertEquals("200", exchangeOrder(client, "t-2"));
    assertNotNull(unresponsive.closedConnections.poll(30, TimeUnit.SECONDS));
    assertEquals(2, metric(node, "connections.archive_servers.opened"));
  }

  /** A server that refuses further connections receives its requests over the open ones. */
  @Test
  void anUpstreamAtItsConnectionLimitServesOnOpenConnections() throws Exception {
    ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    toClose.add(listening);
    CompletableFuture<Void> closed = new CompletableFuture<>();
    Thread thread =
        new Thread(
            () -> {
              try (Socket connection = listening.accept()) {
                listening.close();
                closed.complete(null);
                for (FakePeer.Message m = FakePeer.read(connection);
                    m != null;
                    m = FakePeer.read(connection)) {
                  Thread.sleep(20);
                  m.answer(FakePeer.ok("", "x"));
                }
              } catch (IOException | InterruptedException e) {
                // The test is over.
              }
            });
    thread.setDaemon(true);
    thread.start();
    EdgeNode node =
        startNode(config(member("s-0", "127.0.0.1:" + listening.getLocalPort(), "Ready", 0)));
    Socket first = client(node);
    sendOrder(first, "t-0");
    closed.get();
    assertEquals("200", readOutcome(first));
    List<Socket> clients = new ArrayList<>();
    for (int i = 1; i < 4; i++) {
      clients.add(client(node));
      sendOrder(clients.get(i - 1), "t-" + i);
    }
    for (Socket client : clients) {
      assertEquals("200", readOutcome(client));
    }
    assertEquals(1, metric(node, "connections.archive_servers.open"));
    assertTrue(metric(node, "connections.archive_servers.reused") >= 3);
  }

  /**
   * A server that moved to another address gets no request over a connection to its old address.
   * Another server that took over the old address gets new connections, too.
   */
  @Test
  void aMovedServerAndItsReplacementGetNewConnections() throws Exception {
    FakePeer old = peer(m -> m.answer(FakePeer.ok("", "old")));
    FakePeer moved = peer(m -> m.answer(FakePeer.ok("", "new")));
    CompletableFuture<Void> responsePermit = new CompletableFuture<>();
    String line =
        "{\"revision\":8,\"complete\":true,\"members\":["
            + member("s-9", old.address(), "Ready", System.currentTimeMillis() - 60_000)
            + ","
            + member("s-0", moved.address(), "Ready", 0)
            + "]}\n";
    discovery =
        peer(
            m -> {
              if (m.startLine().contains("after=5")) {
                responsePermit.join();
                m.answer(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(line.length())
                        + "\r\n"
                        + line
                        + "\r\n0\r\n\r\n");
              }
            });
    EdgeNode node = startNode(old);
    Socket client = client(node);
    assertEquals("200", exchangeOrder(client, "t-1"));
    Socket previousConnection = old.next().socket();
    responsePermit.complete(null);
    assertNotNull(
        old.closedConnections.poll(60, TimeUnit.SECONDS),
        "the idle connection to the old address must be closed");
    for (int i = 0; old.received.isEmpty() || moved.received.isEmpty(); i++) {
      assertEquals("200", exchangeOrder(client, "u-" + i));
    }
    assertTrue(old.next().socket() != previousConnection);
  }

  @Test
  void invalidConnectionLimitsAreRejectedAndTooLargeOnesClamped() throws Exception {
    String validConfig = config();
    Map<String, String> messageByConnections =
        new TreeMap<>(
            Map.of(
                "{\"clients\":0}",
                "connections.clients is not a whole number from 1",
                "{\"clients\":1.5}",
                "connections.clients is not a whole number",
                "{\"clients\":\"9\"}",
                "connections.clients is not",
                "{\"idle-ms\":100}",
                "connections.idle-ms is not a whole number from 2000",
                "{\"sockets\":9}",
                "connections.sockets is unknown",
                "[]",
                "connections is not an object",
                "{\"held-bytes\":99999999999}",
                "connections.held-bytes is not a whole number"));
    for (Map.Entry<String, String> invalid : messageByConnections.entrySet()) {
      String text =
          validConfig.replace(
              "\"counter\"", "\"connections\":" + invalid.getKey() + ",\"counter\"");
      String message =
          assertThrows(InvalidConfigException.class, () -> NodeConfigParser.parse(text))
              .getMessage();
      assertTrue(message.startsWith(invalid.getValue()), message);
      assertFalse(message.contains("\n"), message);
    }
    EdgeNode node =
        startWithLimits("{\"clients\":100000}", peer(m -> m.answer(FakePeer.ok("", "x"))));
    assertEquals(1, node.budget().clampWarnings().size());
    assertEquals(NodeConfigParser.parse(validConfig).maxDescriptors(), 1_024);
    assertTrue(node.budget().clients() < 1_024);
  }

  /**
   * The process's limit of descriptors is below the configured budget. While descriptors are
   * exhausted, the operators' address still answers and the node doesn't retry accepts in a busy
   * loop; once clients close, it serves again.
   */
  @Test
  void theNodeRecoversFromDescriptorExhaustionBelowItsBudget() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x")));
    CompletableFuture<Void> never = new CompletableFuture<>();
    discovery =
        peer(
            m -> {
              m.answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
              never.join();
            });
    int operatorsPort;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      operatorsPort = free.getLocalPort();
    }
    Path file = folder.resolve("config.json");
    Files.writeString(
        file,
        config(member("s-0", server.address(), "Ready", 0))
            .replace("\"counter\"", "\"ops\":\"127.0.0.1:" + operatorsPort + "\",\"counter\""));
    Process process =
        startProcess(
            file,
            List.of("sh", "-c", "ulimit -n 90; exec \"$0\" \"$@\""),
            ProgramJar.classPath(folder));
    InetSocketAddress at = awaitListenAddress(process);
    while (!callOperators(operatorsPort, "check").startsWith("ACK")) {
      Thread.sleep(20);
    }
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      clients.add(connectFrom(1, at));
    }
    long began = System.nanoTime();
    while (descriptorExhaustions(operatorsPort) == 0) {
      Thread.sleep(20);
    }
    Thread.sleep(500);
    long exhaustions = descriptorExhaustions(operatorsPort);
    long expectedAccepts = (System.nanoTime() - began) / 20_000_000 + 50;
    assertTrue(
        exhaustions <= 3 * expectedAccepts,
        "accepts are retried too often: "
            + exhaustions
            + " times, expected accepts: "
            + expectedAccepts);
    for (Socket socket : clients) {
      socket.close();
    }
    Socket client = connectFrom(2, at);
    toClose.add(client);
    assertEquals("200", exchangeOrder(client, "t-1"));
    assertTrue(process.isAlive());
  }

  /**
   * Idle clients use up their share of the descriptors while discovery is unresponsive: the shares
   * of discovery, the counter, archive servers and operators stay free.
   */
  @Test
  void idleClientsLeaveDescriptorsForAllOtherPeers() throws Exception {
    FakePeer terminating = peer(m -> m.answer(FakePeer.ok("", "first")));
    FakePeer ready = peer(m -> m.answer(FakePeer.ok("", "second")));
    CompletableFuture<Void> never = new CompletableFuture<>();
    AtomicBoolean unresponsive = new AtomicBoolean(true);
    String change =
        "{\"revision\":6,\"complete\":false,\"members\":["
            + member("s-0", terminating.address(), "Terminating", 0)
            + ","
            + member("s-1", ready.address(), "Ready", 0)
            + "]}\n";
    discovery =
        peer(
            m -> {
              if (discovery.received.size() > 1 && unresponsive.get()) {
                never.join();
              }
              String update = unresponsive.get() ? "\n" : change;
              m.answer(
                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      + Integer.toHexString(update.length())
                      + "\r\n"
                      + update
                      + "\r\n");
              never.join();
            });
    int operatorsPort;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      operatorsPort = free.getLocalPort();
    }
    Path file = folder.resolve("config.json");
    Files.writeString(
        file,
        config(member("s-0", terminating.address(), "Ready", 0))
            .replace("1024", "256")
            .replace("\"counter\"", "\"ops\":\"127.0.0.1:" + operatorsPort + "\",\"counter\""));
    Process process = startProcess(file, List.of("sh", "-c", "ulimit -n 256; exec \"$0\" \"$@\""));
    InetSocketAddress at = awaitListenAddress(process);
    List<Socket> idle = new ArrayList<>();
    toClose.add(
        () -> {
          for (Socket socket : idle) {
            socket.close();
          }
        });
    for (int i = 0; i < 500; i++) {
      idle.add(connectFrom(1 + i % 4, at));
    }
    // One watch hangs; the node opens and closes others beside it.
    while (discovery.accepted() < 8) {
      assertTrue(
          callOperators(operatorsPort, "vars").contains("app.connections.open="),
          "operators must be answered");
    }
    assertEquals("first", requestUntilAnswered(at));
    unresponsive.set(false);
    String served;
    do {
      served = requestUntilAnswered(at);
    } while (!served.equals("second"));
    assertTrue(counter.accepted() > 0, "the counter must be called");
    assertEquals(
        0,
        descriptorExhaustions(operatorsPort),
        "the budget must stay below the process's descriptor limit");
    assertTrue(process.isAlive());
  }

  /** Sends a request on a new connection until a connection yields a response; returns its body. */
  private static String requestUntilAnswered(InetSocketAddress at) throws IOException {
    Map<String, String> headers = headers("t-" + System.nanoTime(), "lookup", "20000");
    headers.put("Cookie", String.format("customer=%016x", System.nanoTime() % 100_000));
    headers.put("X-Quota", "units=1,spread=2,first=0");
    while (true) {
      try (Socket client = connectFrom(9, at)) {
        sendRequest(client, "GET /api", headers, "");
        FakePeer.Message answer = FakePeer.read(client);
        if (answer != null) {
          assertEquals("200", status(answer));
          return answer.body();
        }
      } catch (SocketException e) {
        // Closed for want of capacity: clients retry.
      }
    }
  }

  private static long descriptorExhaustions(int operatorsPort) throws IOException {
    String text = callOperators(operatorsPort, "vars");
    int from = text.indexOf("descriptors_exhausted=") + "descriptors_exhausted=".length();
    return Long.parseLong(text.substring(from, text.indexOf('\n', from)));
  }

  private static String callOperators(int port, String line) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.setSoTimeout(30_000);
      socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  /** However connections end, counts and buffered bytes return to 0 and no buffer leaks. */
  @Test
  void twentyThousandEndedConnectionsLeakNothing() throws Exception {
    List<String> leaks = new ArrayList<>();
    Handler leakCollector =
        new Handler() {
          @Override
          public synchronized void publish(LogRecord entry) {
            if (String.valueOf(entry.getMessage()).contains("LEAK")) {
              leaks.add(entry.getMessage());
            }
          }

          @Override
          public void flush() {}

          @Override
          public void close() {}
        };
    Logger logger = Logger.getLogger(ResourceLeakDetector.class.getName());
    logger.addHandler(leakCollector);
    ResourceLeakDetector.Level before = ResourceLeakDetector.getLevel();
    ResourceLeakDetector.setLevel(ResourceLeakDetector.Level.PARANOID);
    try {
      FakePeer server =
          peer(
              m ->
                  m.answer(
                      m.headers().get("x-trace-id").endsWith("3")
                          ? "HTTP/1.1 200 OK\r\nbroken\r\n\r\n"
                          : FakePeer.ok("", "x".repeat(2_000))));
      EdgeNode node = startNode(server, peer(m -> m.socket().close()));
      ExecutorService callers = Executors.newFixedThreadPool(16);
      toClose.add(callers::shutdownNow);
      List<Future<?>> done = new ArrayList<>();
      for (int i = 0; i < 20_000; i++) {
        int number = i;
        done.add(callers.submit(() -> runConnection(node.address(), number)));
      }
      for (Future<?> connection : done) {
        connection.get();
      }
      awaitMetric(node, "connections.open", 0);
      awaitMetric(node, "in_progress", 0);
      // The task that removes the last connection from the table releases its bytes afterwards.
      node.loop.submit(() -> {}).get();
      for (String name :
          List.of("connections.idle", "connections.handshaking", "connections.held_bytes")) {
        assertEquals(0, metric(node, name), name);
      }
      for (int i = 0; i < 5; i++) {
        System.gc();
        node.loop.submit(() -> PooledByteBufAllocator.DEFAULT.buffer(64).release()).get();
      }
      assertEquals(List.of(), leaks);
    } finally {
      ResourceLeakDetector.setLevel(before);
      logger.removeHandler(leakCollector);
    }
  }

  /** Opens a connection that ends in one of ten ways, chosen by the last digit of the number. */
  private static Void runConnection(InetSocketAddress at, int number) throws IOException {
    try (Socket socket = connectFrom(1 + number % 32, at)) {
      String id = "t-" + number;
      switch (number % 10) {
        case 0 -> reset(socket);
        case 1 -> socket.getOutputStream().write("POST /api HT".getBytes(StandardCharsets.UTF_8));
        case 2 -> {
          sendOrder(socket, id);
          readOutcome(socket);
        }
        case 3 -> {
          sendOrder(socket, id);
          reset(socket);
        }
        case 4 -> {
          sendOrder(socket, id);
          socket.shutdownOutput();
          readOutcome(socket);
        }
        case 5 -> {
          socket.getOutputStream().write("nonsense\r\n\r\n".getBytes(StandardCharsets.UTF_8));
          readOutcome(socket);
        }
        case 6 ->
            socket
                .getOutputStream()
                .write(
                    ("POST /api HTTP/1.1\r\n"
                            + headerLines(headers(id, "order", "20000"))
                            + "Content-Length: 50000\r\n\r\nhalf")
                        .getBytes(StandardCharsets.UTF_8));
        case 7 -> {
          sendOrder(socket, id);
          sendOrder(socket, id + "x");
        }
        case 8 -> {
          sendOrder(socket, id);
          sendOrder(socket, id + "x");
          readOutcome(socket);
          readOutcome(socket);
        }
        default -> {
          sendRequest(socket, "GET /_health", Map.of(), "");
          readOutcome(socket);
        }
      }
    } catch (IOException e) {
      // The node closed the connection first.
    }
    return null;
  }
}

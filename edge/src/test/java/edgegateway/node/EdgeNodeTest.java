package edgegateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.node.config.InvalidConfigException;
import edgegateway.node.config.NodeConfig;
import edgegateway.node.config.NodeConfigParser;
import edgegateway.node.counter.CounterClient;
import edgegateway.node.logging.EventLog;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests an edge node between scripted peers on loopback sockets. Each test waits for events, never
 * for a fixed time.
 */
@Timeout(120)
class EdgeNodeTest extends NodeTest {
  @Test
  void forwardsRequestsAndResponsesOverASingleUpstreamConnection() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("X-Units-Charged: 3\r\n", "done")));
    Socket client = client(startNode(server));
    for (String id : List.of("t-1", "t-2")) {
      sendOrder(client, id);
      FakePeer.Message response = FakePeer.read(client);
      assertEquals("200", status(response));
      assertEquals("done", response.body());
      FakePeer.Message forwarded = server.next();
      assertEquals("POST /api?slot=4 HTTP/1.1", forwarded.startLine());
      assertEquals("book", forwarded.body());
      assertEquals(id, forwarded.headers().get("x-trace-id"));
      assertEquals("key-" + id, forwarded.headers().get("idempotency-key"));
      assertTrue(Long.parseLong(forwarded.headers().get("x-expires-in-ms")) <= 20_000);
    }
    assertTrue(
        server.closedConnections.isEmpty(), "both requests must use the same upstream connection");
  }

  /**
   * Guards against a null channel in the listener of the connect, which failed the first request on
   * every new connection.
   */
  @Test
  void theFirstRequestOnANewConnectionIsServed() throws Exception {
    assertEquals(
        "200", exchangeOrder(client(startNode(peer(m -> m.answer(FakePeer.ok("", "x"))))), "t-1"));
  }

  /**
   * The warm-up's generated requests take the complete request path inside the process, but none
   * leaves the process.
   */
  @Test
  void warmUpServesRequestsWithoutContactingAnyPeer() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x")));
    assertTrue(
        WarmUp.run(NodeConfigParser.parse(config(member("s-0", server.address(), "Ready", 0))))
            > 0);
    for (FakePeer peer : List.of(server, counter, discovery)) {
      assertTrue(peer.received.isEmpty());
    }
    assertEquals(
        0,
        WarmUp.run(NodeConfigParser.parse(config())),
        "without known endpoints no request can be served");
  }

  /**
   * Guards against a node that listens only after its warm-up: the requests that the load balancer
   * still sent after a restart were lost.
   */
  @Test
  void aNodeNotYetAdmittedServesRequestsButFailsItsHealthCheck() throws Exception {
    discovery = peer(m -> m.answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
    EdgeNode node = startNode(peer(m -> m.answer(FakePeer.ok("", "x"))));
    Socket client = client(node);
    assertEquals("200", exchangeOrder(client, "t-1"));
    sendRequest(client, "GET /_health", Map.of(), "");
    assertEquals("503", status(FakePeer.read(client)));
    node.admit();
    String health;
    do {
      sendRequest(client, "GET /_health", Map.of(), "");
      health = status(FakePeer.read(client));
    } while (health.equals("503"));
    assertEquals("200", health);
  }

  @Test
  void invalidRequestsAreRejectedWithoutReachingAServer() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x")));
    EdgeNode node = startNode(server);
    Map<String, String> invalidHeaders =
        new TreeMap<>(
            Map.of(
                "X-Trace-Id",
                "",
                "X-Qos",
                "nonsense",
                "X-Plan",
                "gold",
                "Cookie",
                "customer=zz",
                "X-Expires-In-Ms",
                "soon",
                "X-Quota",
                "units=NaN,spread=1,first=0",
                "Idempotency-Key",
                ""));
    for (Map.Entry<String, String> invalid : invalidHeaders.entrySet()) {
      Map<String, String> headers = headers("t-1", "order", "20000");
      headers.put(invalid.getKey(), invalid.getValue());
      Socket client = client(node);
      sendRequest(client, "POST /api", headers, "");
      assertEquals("400", status(FakePeer.read(client)), invalid.getKey());
    }
    for (String quota :
        List.of(
            "units=1,spread=0,first=0",
            "units=1,spread=1,first=99",
            "units=-1,spread=1,first=0",
            "spread=1,first=0",
            "units=1")) {
      Map<String, String> headers = headers("t-1", "order", "20000");
      headers.put("X-Quota", quota);
      Socket client = client(node);
      sendRequest(client, "POST /api", headers, "");
      assertEquals("400", status(FakePeer.read(client)), quota);
    }
    Map<String, String> valid = headers("t-1", "order", "20000");
    Socket client = client(node);
    sendRequest(client, "GET /api", valid, "");
    assertEquals("405", status(FakePeer.read(client)));
    sendRequest(client, "POST /elsewhere", valid, "");
    assertEquals("404", status(FakePeer.read(client)));
    client
        .getOutputStream()
        .write(
            "POST /api HTTP/1.1\r\nContent-Length: 40000000\r\n\r\n"
                .getBytes(StandardCharsets.UTF_8));
    assertEquals("413", status(FakePeer.read(client)));
    Socket garbage = client(node);
    garbage.getOutputStream().write("\u0001noise\r\n\r\n".getBytes(StandardCharsets.UTF_8));
    assertEquals("400", status(FakePeer.read(garbage)));
    assertTrue(server.received.isEmpty(), "no invalid request may reach an archive server");
  }

  @Test
  void clientsThatSendNoCompleteRequestAreDisconnected() throws Exception {
    EdgeNode node = startNode(peer(m -> m.answer(FakePeer.ok("", "x"))));
    for (String incomplete :
        List.of(
            "",
            "GET /api HT",
            "POST /api HTTP/1.1\r\nHost: app.svc\r\nContent-Length: 9\r\n\r\nha")) {
      Socket client = client(node);
      client.getOutputStream().write(incomplete.getBytes(StandardCharsets.UTF_8));
      assertNull(FakePeer.read(client), incomplete);
    }
  }

  @Test
  void ambiguousRequestsAreRejected() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x")));
    EdgeNode node = startNode(server);
    for (String duplicate :
        List.of("Transfer-Encoding: chunked", "X-Trace-Id: t-2", "Content-Length: 1")) {
      Map<String, String> headers = headers("t-1", "order", "20000");
      headers.put("X-Note", "x\r\n" + duplicate);
      Socket client = client(node);
      sendRequest(client, "POST /api", headers, "0\r\n\r\n");
      assertEquals("400", status(FakePeer.read(client)), duplicate);
    }
    assertTrue(server.received.isEmpty());
  }

  /**
   * Guards against losing all responses when a client pipelines more requests than may be queued.
   */
  @Test
  void pipelinedRequestsAreAllAnsweredInOrder() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", m.headers().get("x-trace-id"))));
    Socket client = client(startNode(server));
    for (int i = 0; i < 40; i++) {
      sendOrder(client, "t-" + i);
    }
    for (int i = 0; i < 40; i++) {
      assertEquals("t-" + i, FakePeer.read(client).body());
    }
  }

  @Test
  void aRequestWithATraceIdAlreadyInFlightIsRejected() throws Exception {
    CompletableFuture<Void> mayRespond = new CompletableFuture<>();
    FakePeer server = peerAnsweringAfter(mayRespond, "x");
    EdgeNode node = startNode(server);
    Socket first = client(node);
    sendOrder(first, "t-1");
    server.next();
    assertEquals("409", exchangeOrder(client(node), "t-1"));
    mayRespond.complete(null);
    assertEquals("200", status(FakePeer.read(first)));
  }

  @Test
  void rejectedAttemptsAreRetriedAtOtherServers() throws Exception {
    FakePeer full =
        peer(m -> m.answer("HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"));
    FakePeer unreachable = peer(m -> {});
    unreachable.close();
    FakePeer healthy = peer(m -> m.answer(FakePeer.ok("", "x")));
    Socket client = client(startNode(full, unreachable, healthy));
    for (int i = 0; i < 8; i++) {
      assertEquals("200", exchangeOrder(client, "t-" + i));
    }
  }

  /**
   * A non-idempotent request that may have run gets a 502 rather than a rejection, because a
   * rejection invites the client to retry.
   */
  @Test
  void aNonIdempotentRequestThatMayHaveRunIsNotRetried() throws Exception {
    for (String response :
        List.of(
            "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
            "",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nbody without end")) {
      FakePeer server =
          peer(
              m -> {
                m.answer(response);
                if (!response.startsWith("HTTP/1.1 50")) {
                  m.socket().close();
                }
              });
      Socket client = client(startNode(server));
      sendRequest(client, "POST /api", headers("t-1", "strict", "20000"), "book");
      assertEquals("502", status(FakePeer.read(client)), response);
      server.next();
      assertTrue(
          server.received.isEmpty(), "the request must have been sent only once: " + response);
    }
  }

  /**
   * Guards against forwarding a response with a malformed header line: a line without a colon was
   * accepted as an empty header, and what followed it as part of the response.
   */
  @Test
  void malformedResponsesAreNotForwarded() throws Exception {
    for (String response :
        List.of(
            FakePeer.ok("no colon here\r\n", "x"),
            FakePeer.ok("X-Note : a space\r\n", "x"),
            FakePeer.ok("Content-Length: 3\r\n", "x"),
            "ICY 200 OK\r\nContent-Length: 1\r\n\r\nx",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\nzz\r\nx\r\n0\r\n\r\n")) {
      FakePeer server = peer(m -> m.answer(response));
      Socket client = client(startNode(server));
      sendRequest(client, "POST /api", headers("t-1", "strict", "20000"), "book");
      assertEquals("502", status(FakePeer.read(client)), response);
    }
    FakePeer server =
        peer(
            m ->
                m.answer(
                    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
                        + FakePeer.ok("X-Empty:\r\n", "x")));
    assertEquals("200", exchangeOrder(client(startNode(server)), "t-2"));
  }

  /**
   * Guards against rejecting a response without a reason phrase, whose status line ends in a space.
   */
  @Test
  void aStatusLineWithoutReasonPhraseIsAccepted() throws Exception {
    FakePeer server = peer(m -> m.answer("HTTP/1.1 200 \r\nContent-Length: 1\r\n\r\nx"));
    Socket client = client(startNode(server));
    for (String id : List.of("t-1", "t-2")) {
      sendRequest(client, "POST /api", headers(id, "strict", "20000"), "book");
      assertEquals("200", status(FakePeer.read(client)));
    }
  }

  /**
   * Guards against giving the bytes that a server sends after a response to the next request on the
   * same connection.
   */
  @Test
  void bytesAfterAResponseAreNotTakenForTheNextResponse() throws Exception {
    CompletableFuture<Void> mayRespond = new CompletableFuture<>();
    FakePeer server =
        peer(
            m -> {
              mayRespond.join();
              m.answer(FakePeer.ok("", m.headers().get("x-trace-id")) + FakePeer.ok("", "stray"));
            });
    EdgeNode node = startNode(server);
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      clients.add(client(node));
      sendOrder(clients.get(i), "t-" + i);
    }
    // After two turns of the event loop the node has read all orders, and those not yet sent to the
    // server wait for a connection.
    Socket loadBalancer = client(node);
    for (int i = 0; i < 2; i++) {
      sendRequest(loadBalancer, "GET /_health", Map.of(), "");
      FakePeer.read(loadBalancer);
    }
    mayRespond.complete(null);
    for (int i = 0; i < clients.size(); i++) {
      FakePeer.Message response = FakePeer.read(clients.get(i));
      assertEquals("200", status(response));
      assertEquals("t-" + i, response.body());
    }
  }

  /**
   * The server never responds: the client gets an error response before its deadline, and the
   * attempt ends.
   */
  @Test
  void anUnresponsiveServerCausesA502AndIsDisconnected() throws Exception {
    FakePeer server = peer(m -> {});
    Socket client = client(startNode(server));
    sendRequest(client, "POST /api", headers("t-1", "strict", "2500"), "book");
    assertEquals("502", status(FakePeer.read(client)));
    server.next();
    assertNotNull(
        server.closedConnections.poll(60, TimeUnit.SECONDS),
        "the connection to the unresponsive server must be closed");
  }

  @Test
  void aDrainAnswersAcceptedRequestsBeforeClosingConnections() throws Exception {
    CompletableFuture<Void> mayRespond = new CompletableFuture<>();
    FakePeer server = peerAnsweringAfter(mayRespond, "x");
    EdgeNode node = startNode(server);
    Socket busy = client(node);
    sendOrder(busy, "t-1");
    server.next();
    CompletableFuture<Void> drained = node.stop();
    // Clients still connect for a while after SIGTERM, and their requests must be answered.
    Socket late = client(node);
    sendOrder(late, "t-2");
    server.next();
    assertFalse(drained.isDone());
    mayRespond.complete(null);
    for (Socket client : List.of(busy, late)) {
      FakePeer.Message response = FakePeer.read(client);
      assertEquals("200", status(response));
      assertEquals("close", response.headers().get("connection"));
      assertNull(FakePeer.read(client));
    }
    drained.get(60, TimeUnit.SECONDS);
    // The kernel closes a listening socket only when the selector next runs; until then clients may
    // still connect.
    assertThrows(
        IOException.class,
        () -> {
          while (true) {
            client(node).close();
          }
        });
  }

  @Test
  void anEndedWatchResumesAfterTheLastRevisionReceived() throws Exception {
    FakePeer moved = peer(m -> m.answer(FakePeer.ok("", "new")));
    FakePeer old = peer(m -> m.answer(FakePeer.ok("", "old")));
    String line =
        "{\"revision\":8,\"complete\":false,\"members\":["
            + member("s-0", moved.address(), "Ready", System.currentTimeMillis() - 60_000)
            + "]}\n";
    CompletableFuture<Void> mayRespond = new CompletableFuture<>();
    discovery =
        peer(
            m -> {
              if (m.startLine().contains("after=5")) {
                mayRespond.join();
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
    sendOrder(client, "t-1");
    assertEquals("old", FakePeer.read(client).body());
    mayRespond.complete(null);
    String requestLine = discovery.next().startLine();
    assertTrue(requestLine.contains("watch=1&after=5"));
    while (requestLine.contains("watch=1&after=5")) {
      // The first watch was without a response, so the node opened another beside it.
      requestLine = discovery.next().startLine();
    }
    assertTrue(requestLine.contains("watch=1&after=8"), requestLine);
    // The server has restarted at another address: the connection to the old address is closed, and
    // the new address is used.
    assertNotNull(old.closedConnections.poll(60, TimeUnit.SECONDS));
    sendOrder(client, "t-2");
    assertEquals("new", FakePeer.read(client).body());
  }

  /** Runs the program in a process of its own, because a JVM exits on SIGHUP by default. */
  @Test
  void onSighupDiscoveryAndCounterAreContactedAtTheirNewAddresses() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x")));
    CompletableFuture<Void> never = new CompletableFuture<>();
    discovery = peer(m -> never.join());
    Path file = Files.createTempFile("node", ".json");
    Files.writeString(file, config(member("s-0", server.address(), "Ready", 0)));
    Process process = startProcess(file, List.of());
    discovery.next();
    InetSocketAddress address = awaitListenAddress(process);
    FakePeer oldCounter = counter;
    discovery = peer(m -> never.join());
    counter = peer(m -> m.answer(FakePeer.ok("", "1")));
    Files.writeString(file, config(member("s-0", server.address(), "Ready", 0)));
    sendSignal(process, "HUP");
    assertTrue(discovery.next().startLine().contains("watch=1"));
    Socket client = new Socket(address.getAddress(), address.getPort());
    toClose.add(client);
    // The policy calls the counter only within a budget, but sooner or later calls it for a new
    // customer.
    for (int i = 0; counter.received.isEmpty(); i++) {
      Map<String, String> headers = headers("t-" + i, "order", "20000");
      headers.put("Cookie", "customer=00000000" + (10000000 + i));
      headers.put("X-Quota", "units=1,spread=2,first=0");
      sendRequest(client, "POST /api", headers, "");
      assertNotNull(FakePeer.read(client));
    }
    assertTrue(counter.next().startLine().startsWith("POST /tally/"));
    assertTrue(oldCounter.received.isEmpty());
    process.destroy();
    assertEquals(0, process.waitFor());
  }

  /**
   * Guards against a node that uses the old addresses until it ends, because the file was still
   * being written when the signal arrived.
   */
  @Test
  void aPartlyWrittenConfigurationIsReread() throws Exception {
    CompletableFuture<Void> never = new CompletableFuture<>();
    EdgeNode node = startNode(config());
    discovery = peer(m -> never.join());
    String complete = config();
    Path file = Files.createTempFile("node", ".json");
    Files.writeString(file, complete.substring(0, complete.length() / 2));
    // The first read logs a warning; the log stream then completes the file.
    PrintStream fileCompleter =
        new PrintStream(System.err, true) {
          @Override
          public void println(String line) {
            super.println(line);
            try {
              Files.writeString(file, complete);
            } catch (IOException e) {
              throw new UncheckedIOException(e);
            }
          }
        };
    new ConfigurationReloader(node, file, new EventLog(System.out, fileCompleter)).reload();
    assertTrue(discovery.next().startLine().contains("watch=1"));
  }

  /**
   * Guards against reading the body of an error response as an endpoint list: closing the
   * connection doesn't stop the decoding of bytes that were already read.
   */
  @Test
  void theBodyOfADiscoveryErrorIsNotReadAsAList() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x")));
    String list = "{\"revision\":9,\"complete\":true,\"members\":[]}\n";
    discovery =
        peer(
            m ->
                m.answer(
                    "HTTP/1.1 404 No\r\nContent-Length: " + list.length() + "\r\n\r\n" + list));
    EdgeNode node = startNode(server);
    discovery.next();
    assertTrue(
        discovery.next().startLine().contains("after=5"),
        "the node took over the revision in the body of an error");
    assertEquals("200", exchangeOrder(client(node), "t-1"));
  }

  /**
   * A late response belongs to the call that timed out. If the next call on the connection got it,
   * every later call would get the total of the call before it.
   */
  @Test
  void aTotalThatArrivesAfterItsTimeoutIsDiscarded() throws Exception {
    CompletableFuture<Void> mayRespond = new CompletableFuture<>();
    counterScript =
        m -> {
          if (counter.received.size() == 1) {
            mayRespond.join();
            m.answer(FakePeer.ok("", "77"));
          } else {
            m.answer(FakePeer.ok("", "88"));
          }
        };
    BlockingQueue<String> callResults = new LinkedBlockingQueue<>();
    NodeConfig config =
        NodeConfigParser.parse(
            config().replace("\"count-wait-ns\": 50000000", "\"count-wait-ns\": 2000000000"));
    try (var group = new CloseableGroup()) {
      EventLoop loop = group.loops.next();
      CounterClient client =
          loop.submit(
                  () ->
                      new CounterClient(
                          (name, outcome, total) ->
                              callResults.add(name + " " + outcome + " " + total),
                          loop,
                          config))
              .get();
      loop.execute(() -> client.add(4, 1.5, 4_000_000_000L));
      assertEquals("4 TIMEOUT 0.0", callResults.poll(60, TimeUnit.SECONDS));
      loop.execute(() -> client.add(4, -2.25, 4_000_000_000L));
      mayRespond.complete(null);
      assertEquals("4 OK 88.0", callResults.poll(60, TimeUnit.SECONDS));
    }
    assertEquals("POST /tally/4?n=1.5&keep_ms=4000 HTTP/1.1", counter.next().startLine());
    assertEquals("POST /tally/4?n=-2.25&keep_ms=4000 HTTP/1.1", counter.next().startLine());
  }

  /**
   * The counter may have added the amount of a call whose response holds no number, and later
   * responses on that connection can't be trusted.
   */
  @Test
  void anInvalidTotalClosesTheCounterConnection() throws Exception {
    for (String response :
        List.of(
            FakePeer.ok("", "x"),
            FakePeer.ok("", "NaN"),
            FakePeer.ok("", "1f"),
            FakePeer.ok("", ""),
            FakePeer.ok("no colon\r\n", "5"),
            "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")) {
      FakePeer broken = peer(m -> m.answer(response));
      BlockingQueue<String> callResults = new LinkedBlockingQueue<>();
      NodeConfig config =
          NodeConfigParser.parse(
              config()
                  .replace(counter.address(), broken.address())
                  .replace("\"count-wait-ns\": 50000000", "\"count-wait-ns\": 30000000000"));
      try (var group = new CloseableGroup()) {
        EventLoop loop = group.loops.next();
        CounterClient client =
            loop.submit(
                    () ->
                        new CounterClient(
                            (name, outcome, total) -> callResults.add(name + " " + outcome),
                            loop,
                            config))
                .get();
        loop.execute(() -> client.add(4, 1, 4_000_000_000L));
        assertEquals("4 RESET", callResults.poll(60, TimeUnit.SECONDS), response);
        assertNotNull(broken.closedConnections.poll(60, TimeUnit.SECONDS), response);
      }
    }
  }

  /** A single event loop that is shut down on close. */
  private record CloseableGroup(EventLoopGroup loops) implements AutoCloseable {
    CloseableGroup() {
      this(new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()));
    }

    @Override
    public void close() {
      loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }

  @Test
  void theErrorForAnInvalidConfigurationNamesTheKey() throws Exception {
    String valid = config();
    Map<String, String> messagesByConfig =
        new TreeMap<>(
            Map.of(
                valid.replace("\"listen\"", "\"listenx\""),
                "listen is missing",
                valid.replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\""),
                "listen is not host:port",
                valid.replace("\"my-number\": 0", "\"my-number\": \"x\""),
                "settings.my-number is not a number",
                valid.replace("\"aim-ns\"", "\"aim\""),
                "settings.classes.0.aim-ns is missing",
                valid.replace("\"tariffs\"", "\"plans\""),
                "tariffs is missing",
                "{",
                "the configuration is not JSON"));
    Map.of(
            "{}",
            "zones.verdicts is not alone or counter",
            "{\"verdicts\":\"all\"}",
            "zones.verdicts is not alone or counter",
            "7",
            "zones is not an object",
            "{\"verdicts\":\"alone\",\"most\":1}",
            "zones.most is unknown",
            "{\"verdicts\":\"alone\",\"most-out-percent\":91}",
            "zones.most-out-percent is not a whole number from 1 to 90",
            "{\"verdicts\":\"alone\",\"alone-after-ms\":499}",
            "zones.alone-after-ms is not a whole number from 500 to 60000")
        .forEach(
            (zones, message) ->
                messagesByConfig.put(
                    valid.replaceFirst("\\{", "{\"zones\":" + zones + ","), message));
    for (Map.Entry<String, String> entry : messagesByConfig.entrySet()) {
      String message =
          assertThrows(InvalidConfigException.class, () -> NodeConfigParser.parse(entry.getKey()))
              .getMessage();
      assertTrue(message.startsWith(entry.getValue()), message);
      assertFalse(message.contains("\n"), message);
    }
  }

  /**
   * The list holds as many archive servers as are planned for, with entries as long as the longest
   * that discovery writes.
   */
  @Test
  void aFullEndpointListOfThePlannedFleetIsAccepted() throws Exception {
    String list = endpointList(8_900, 6);
    assertTrue(list.length() > 1 << 20);
    discovery =
        peer(
            m ->
                m.answer(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(list.length())
                        + "\r\n"
                        + list
                        + "\r\n"));
    EdgeNode node = startNode();
    assertEquals(8_900, node.loop.submit(() -> node.upstreamPool.endpointCount()).get());
    assertEquals(6, node.loop.submit(node::endpointListRevision).get());
  }

  @Test
  void anOversizedEndpointListIsRejectedAndThePreviousKept() throws Exception {
    String list = endpointList(100_000, 6);
    discovery =
        peer(
            m ->
                m.answer(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(list.length())
                        + "\r\n"
                        + list
                        + "\r\n"));
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "served")));
    EdgeNode node = startNode(server);
    for (int watches = 0; watches < 3; watches++) {
      assertTrue(discovery.next().startLine().contains("after=5"));
    }
    assertEquals("200", exchangeOrder(client(node), "t-1"));
    assertEquals(1, node.loop.submit(() -> node.upstreamPool.endpointCount()).get());
  }

  private static String endpointList(int entries, long revision) {
    StringBuilder list =
        new StringBuilder("{\"revision\":" + revision + ",\"complete\":true,\"members\":[");
    for (int i = 0; i < entries; i++) {
      list.append(i == 0 ? "" : ",")
          .append(
              member(
                  "s-" + Integer.toHexString(0x5be00000 + i),
                  "127.1." + i / 250 % 250 + "." + (1 + i % 250) + ":50123",
                  "Ready",
                  1_790_000_000_000L + i));
    }
    return list.append("]}\n").toString();
  }
}

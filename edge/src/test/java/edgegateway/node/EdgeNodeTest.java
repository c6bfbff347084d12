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
 * An edge node between scripted peers on loopback sockets; each test waits for events, never for a
 * time.
 */
@Timeout(120)
class EdgeNodeTest extends NodeTest {
  @Test
  void passesARequestOnAndItsAnswerBackOverOneConnection() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("X-Units-Charged: 3\r\n", "done")));
    Socket client = client(startNode(server));
    for (String id : List.of("t-1", "t-2")) {
      sendOrder(client, id);
      FakePeer.Message answer = FakePeer.read(client);
      assertEquals("200", status(answer));
      assertEquals("done", answer.body());
      FakePeer.Message sent = server.next();
      assertEquals("POST /api?slot=4 HTTP/1.1", sent.first());
      assertEquals("book", sent.body());
      assertEquals(id, sent.headers().get("x-trace-id"));
      assertEquals("key-" + id, sent.headers().get("idempotency-key"));
      assertTrue(Long.parseLong(sent.headers().get("x-expires-in-ms")) <= 20_000);
    }
    assertTrue(server.ended.isEmpty(), "the second request must not need a second connection");
  }

  /** A null channel in the connect's listener once failed every first request on a connection. */
  @Test
  void theFirstRequestOnANewConnectionIsServed() throws Exception {
    assertEquals(
        "200", exchangeOrder(client(startNode(peer(m -> m.answer(FakePeer.ok("", "x"))))), "t-1"));
  }

  /** Made-up requests go the whole way in the process, and none of them out of it. */
  @Test
  void theWarmUpServesAndReachesNobody() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x")));
    assertTrue(
        WarmUp.run(NodeConfigParser.parse(config(member("s-0", server.address(), "Ready", 0))))
            > 0);
    for (FakePeer peer : List.of(server, counter, discovery)) {
      assertTrue(peer.seen.isEmpty());
    }
    assertEquals(
        0, WarmUp.run(NodeConfigParser.parse(config())), "without a list there is nobody to serve");
  }

  /**
   * A node that did not listen before its warm-up was through lost what the front still sent after
   * a restart.
   */
  @Test
  void aNodeThatIsNotAdmittedYetServesAndSaysSo() throws Exception {
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
  void whatIsNoRequestIsTurnedAwayAtOnce() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x")));
    EdgeNode node = startNode(server);
    Map<String, String> bad =
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
    for (Map.Entry<String, String> one : bad.entrySet()) {
      Map<String, String> headers = headers("t-1", "order", "20000");
      headers.put(one.getKey(), one.getValue());
      Socket client = client(node);
      sendRequest(client, "POST /api", headers, "");
      assertEquals("400", status(FakePeer.read(client)), one.getKey());
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
    Map<String, String> good = headers("t-1", "order", "20000");
    Socket client = client(node);
    sendRequest(client, "GET /api", good, "");
    assertEquals("405", status(FakePeer.read(client)));
    sendRequest(client, "POST /elsewhere", good, "");
    assertEquals("404", status(FakePeer.read(client)));
    client
        .getOutputStream()
        .write(
            "POST /api HTTP/1.1\r\nContent-Length: 40000000\r\n\r\n"
                .getBytes(StandardCharsets.UTF_8));
    assertEquals("413", status(FakePeer.read(client)));
    Socket noise = client(node);
    noise.getOutputStream().write("\u0001noise\r\n\r\n".getBytes(StandardCharsets.UTF_8));
    assertEquals("400", status(FakePeer.read(noise)));
    assertTrue(server.seen.isEmpty(), "none of these may reach an app server");
  }

  @Test
  void whoBringsNoWholeRequestIsCutOff() throws Exception {
    EdgeNode node = startNode(peer(m -> m.answer(FakePeer.ok("", "x"))));
    for (String part :
        List.of(
            "",
            "GET /api HT",
            "POST /api HTTP/1.1\r\nHost: app.svc\r\nContent-Length: 9\r\n\r\nha")) {
      Socket client = client(node);
      client.getOutputStream().write(part.getBytes(StandardCharsets.UTF_8));
      assertNull(FakePeer.read(client), part);
    }
  }

  @Test
  void aRequestThatCanBeReadInTwoWaysIsNone() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x")));
    EdgeNode node = startNode(server);
    for (String twice :
        List.of("Transfer-Encoding: chunked", "X-Trace-Id: t-2", "Content-Length: 1")) {
      Map<String, String> headers = headers("t-1", "order", "20000");
      headers.put("X-Note", "x\r\n" + twice);
      Socket client = client(node);
      sendRequest(client, "POST /api", headers, "0\r\n\r\n");
      assertEquals("400", status(FakePeer.read(client)), twice);
    }
    assertTrue(server.seen.isEmpty());
  }

  /** A line of requests longer than what may wait once cost all of them their answers. */
  @Test
  void pipelinedRequestsAreAllAnsweredInTheirOrder() throws Exception {
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
  void aSecondRequestOfAnOpenIdIsTurnedAwayAndTheFirstIsServed() throws Exception {
    CompletableFuture<Void> go = new CompletableFuture<>();
    FakePeer server =
        peer(
            m -> {
              go.join();
              m.answer(FakePeer.ok("", "x"));
            });
    EdgeNode node = startNode(server);
    Socket first = client(node);
    sendOrder(first, "t-1");
    server.next();
    assertEquals("409", exchangeOrder(client(node), "t-1"));
    go.complete(null);
    assertEquals("200", status(FakePeer.read(first)));
  }

  @Test
  void aTurnedAwayAttemptGoesElsewhereUnseen() throws Exception {
    FakePeer full =
        peer(m -> m.answer("HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"));
    FakePeer gone = peer(m -> {});
    gone.close();
    FakePeer good = peer(m -> m.answer(FakePeer.ok("", "x")));
    Socket client = client(startNode(full, gone, good));
    for (int i = 0; i < 8; i++) {
      assertEquals("200", exchangeOrder(client, "t-" + i));
    }
  }

  /**
   * An unsafe request that may have run is failed, not refused: a refusal invites the client to
   * repeat it.
   */
  @Test
  void anUnsafeRequestIsSentOnceMoreOnlyIfItNeverRan() throws Exception {
    for (String answer :
        List.of(
            "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
            "",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nno end told")) {
      FakePeer server =
          peer(
              m -> {
                m.answer(answer);
                if (!answer.startsWith("HTTP/1.1 50")) {
                  m.socket().close();
                }
              });
      Socket client = client(startNode(server));
      sendRequest(client, "POST /api", headers("t-1", "strict", "20000"), "book");
      assertEquals("502", status(FakePeer.read(client)), answer);
      server.next();
      assertTrue(server.seen.isEmpty(), "it must have been sent once: " + answer);
    }
  }

  /**
   * A header line without a colon once passed as an empty header, and what followed it as an
   * answer.
   */
  @Test
  void anAnswerThatCannotBeReadIsNotPassedOn() throws Exception {
    for (String answer :
        List.of(
            FakePeer.ok("no colon here\r\n", "x"),
            FakePeer.ok("X-Note : a space\r\n", "x"),
            FakePeer.ok("Content-Length: 3\r\n", "x"),
            "ICY 200 OK\r\nContent-Length: 1\r\n\r\nx",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\nzz\r\nx\r\n0\r\n\r\n")) {
      FakePeer server = peer(m -> m.answer(answer));
      Socket client = client(startNode(server));
      sendRequest(client, "POST /api", headers("t-1", "strict", "20000"), "book");
      assertEquals("502", status(FakePeer.read(client)), answer);
    }
    FakePeer server =
        peer(
            m ->
                m.answer(
                    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
                        + FakePeer.ok("X-Empty:\r\n", "x")));
    assertEquals("200", exchangeOrder(client(startNode(server)), "t-2"));
  }

  /** A status line that gives no reason ends in a space, and once failed its answer. */
  @Test
  void anAnswerNeedsNoReasonInItsStatusLine() throws Exception {
    FakePeer server = peer(m -> m.answer("HTTP/1.1 200 \r\nContent-Length: 1\r\n\r\nx"));
    Socket client = client(startNode(server));
    for (String id : List.of("t-1", "t-2")) {
      sendRequest(client, "POST /api", headers(id, "strict", "20000"), "book");
      assertEquals("200", status(FakePeer.read(client)));
    }
  }

  /**
   * What a server sent behind its answer once was given to the request that used the connection
   * next.
   */
  @Test
  void whatFollowsAnAnswerIsNobodysAnswer() throws Exception {
    CompletableFuture<Void> go = new CompletableFuture<>();
    FakePeer server =
        peer(
            m -> {
              go.join();
              m.answer(FakePeer.ok("", m.headers().get("x-trace-id")) + FakePeer.ok("", "stray"));
            });
    EdgeNode node = startNode(server);
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      clients.add(client(node));
      sendOrder(clients.get(i), "t-" + i);
    }
    // Two rounds of the loop: by then all orders are taken, and those that are not out wait for a
    // connection.
    Socket front = client(node);
    for (int i = 0; i < 2; i++) {
      sendRequest(front, "GET /_health", Map.of(), "");
      FakePeer.read(front);
    }
    go.complete(null);
    for (int i = 0; i < clients.size(); i++) {
      FakePeer.Message answer = FakePeer.read(clients.get(i));
      assertEquals("200", status(answer));
      assertEquals("t-" + i, answer.body());
    }
  }

  /**
   * A server that says nothing: the answer comes before the client's time is up, and the attempt
   * ends.
   */
  @Test
  void silenceIsAnsweredAndItsConnectionClosed() throws Exception {
    FakePeer server = peer(m -> {});
    Socket client = client(startNode(server));
    sendRequest(client, "POST /api", headers("t-1", "strict", "2500"), "book");
    assertEquals("502", status(FakePeer.read(client)));
    server.next();
    assertNotNull(server.ended.poll(60, TimeUnit.SECONDS), "the silent connection must be closed");
  }

  @Test
  void aDrainAnswersWhatWasTakenAndClosesTheRest() throws Exception {
    CompletableFuture<Void> go = new CompletableFuture<>();
    FakePeer server =
        peer(
            m -> {
              go.join();
              m.answer(FakePeer.ok("", "x"));
            });
    EdgeNode node = startNode(server);
    Socket busy = client(node);
    sendOrder(busy, "t-1");
    server.next();
    CompletableFuture<Void> drained = node.stop();
    // Connections go on coming for a while after SIGTERM, and what they bring is owed an answer.
    Socket late = client(node);
    sendOrder(late, "t-2");
    server.next();
    assertFalse(drained.isDone());
    go.complete(null);
    for (Socket client : List.of(busy, late)) {
      FakePeer.Message answer = FakePeer.read(client);
      assertEquals("200", status(answer));
      assertEquals("close", answer.headers().get("connection"));
      assertNull(FakePeer.read(client));
    }
    drained.get(60, TimeUnit.SECONDS);
    // The kernel lets go of a listening socket only when the selector next runs: until then it may
    // connect.
    assertThrows(
        IOException.class,
        () -> {
          while (true) {
            client(node).close();
          }
        });
  }

  @Test
  void aWatchThatEndsGoesOnAfterItsLastRevision() throws Exception {
    FakePeer moved = peer(m -> m.answer(FakePeer.ok("", "new")));
    FakePeer old = peer(m -> m.answer(FakePeer.ok("", "old")));
    String line =
        "{\"revision\":8,\"complete\":false,\"members\":["
            + member("s-0", moved.address(), "Ready", System.currentTimeMillis() - 60_000)
            + "]}\n";
    CompletableFuture<Void> go = new CompletableFuture<>();
    discovery =
        peer(
            m -> {
              if (m.first().contains("after=5")) {
                go.join();
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
    go.complete(null);
    String call = discovery.next().first();
    assertTrue(call.contains("watch=1&after=5"));
    while (call.contains("watch=1&after=5")) {
      // The first hung: another was opened beside it.
      call = discovery.next().first();
    }
    assertTrue(call.contains("watch=1&after=8"), call);
    // The server has restarted elsewhere: its connection at the old address goes, the new one is
    // used.
    assertNotNull(old.ended.poll(60, TimeUnit.SECONDS));
    sendOrder(client, "t-2");
    assertEquals("new", FakePeer.read(client).body());
  }

  /** The program's own process: a JVM left to itself ends on SIGHUP. */
  @Test
  void onSighupDiscoveryAndCounterAreFollowedToTheirNewAddresses() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x")));
    CompletableFuture<Void> never = new CompletableFuture<>();
    discovery = peer(m -> never.join());
    Path file = Files.createTempFile("node", ".json");
    Files.writeString(file, config(member("s-0", server.address(), "Ready", 0)));
    Process process = startProcess(file, List.of());
    discovery.next();
    InetSocketAddress at = awaitListenAddress(process);
    FakePeer oldCounter = counter;
    discovery = peer(m -> never.join());
    counter = peer(m -> m.answer(FakePeer.ok("", "1")));
    Files.writeString(file, config(member("s-0", server.address(), "Ready", 0)));
    sendSignal(process, "HUP");
    assertTrue(discovery.next().first().contains("watch=1"));
    Socket client = new Socket(at.getAddress(), at.getPort());
    toClose.add(client);
    // The module calls when its budget lets it: a customer never heard of is asked about sooner or
    // later.
    for (int i = 0; counter.seen.isEmpty(); i++) {
      Map<String, String> headers = headers("t-" + i, "order", "20000");
      headers.put("Cookie", "customer=00000000" + (10000000 + i));
      headers.put("X-Quota", "units=1,spread=2,first=0");
      sendRequest(client, "POST /api", headers, "");
      assertNotNull(FakePeer.read(client));
    }
    assertTrue(counter.next().first().startsWith("POST /tally/"));
    assertTrue(oldCounter.seen.isEmpty());
    process.destroy();
    assertEquals(0, process.waitFor());
  }

  /**
   * A file that was still being written at the signal once left the node at the old addresses to
   * its end.
   */
  @Test
  void aConfigurationThatIsHalfWrittenIsReadAgain() throws Exception {
    CompletableFuture<Void> never = new CompletableFuture<>();
    EdgeNode node = startNode(config());
    discovery = peer(m -> never.join());
    String whole = config();
    Path file = Files.createTempFile("node", ".json");
    Files.writeString(file, whole.substring(0, whole.length() / 2));
    PrintStream completesTheFile =
        new PrintStream(System.err, true) {
          @Override
          public void println(String line) {
            super.println(line);
            try {
              Files.writeString(file, whole);
            } catch (IOException e) {
              throw new UncheckedIOException(e);
            }
          }
        };
    new ConfigurationReloader(node, file, new EventLog(System.out, completesTheFile)).reload();
    assertTrue(discovery.next().first().contains("watch=1"));
  }

  /**
   * The body of an error once was read as a list, because a close does not stop what was read
   * already.
   */
  @Test
  void anErrorOfDiscoveryIsNoList() throws Exception {
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
        discovery.next().first().contains("after=5"), "the revision of an error's body was taken");
    assertEquals("200", exchangeOrder(client(node), "t-1"));
  }

  /**
   * A late answer belongs to the call that timed out; were it given to the next, totals would shift
   * for good.
   */
  @Test
  void aLateTotalIsSkippedInLine() throws Exception {
    CompletableFuture<Void> go = new CompletableFuture<>();
    counterScript =
        m -> {
          if (counter.seen.size() == 1) {
            go.join();
            m.answer(FakePeer.ok("", "77"));
          } else {
            m.answer(FakePeer.ok("", "88"));
          }
        };
    BlockingQueue<String> told = new LinkedBlockingQueue<>();
    NodeConfig config =
        NodeConfigParser.parse(
            config().replace("\"count-wait-ns\": 50000000", "\"count-wait-ns\": 2000000000"));
    try (var group = new CloseableGroup()) {
      EventLoop loop = group.loops.next();
      CounterClient client =
          loop.submit(
                  () ->
                      new CounterClient(
                          (name, outcome, total) -> told.add(name + " " + outcome + " " + total),
                          loop,
                          config))
              .get();
      loop.execute(() -> client.add(4, 1.5, 4_000_000_000L));
      assertEquals("4 TIMEOUT 0.0", told.poll(60, TimeUnit.SECONDS));
      loop.execute(() -> client.add(4, -2.25, 4_000_000_000L));
      go.complete(null);
      assertEquals("4 OK 88.0", told.poll(60, TimeUnit.SECONDS));
    }
    assertEquals("POST /tally/4?n=1.5&keep_ms=4000 HTTP/1.1", counter.next().first());
    assertEquals("POST /tally/4?n=-2.25&keep_ms=4000 HTTP/1.1", counter.next().first());
  }

  /**
   * An answer that holds no number was added all the same, and its connection may no longer be
   * trusted.
   */
  @Test
  void aTotalThatCannotBeReadEndsTheConnection() throws Exception {
    for (String answer :
        List.of(
            FakePeer.ok("", "x"),
            FakePeer.ok("", "NaN"),
            FakePeer.ok("", "1f"),
            FakePeer.ok("", ""),
            FakePeer.ok("no colon\r\n", "5"),
            "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")) {
      FakePeer broken = peer(m -> m.answer(answer));
      BlockingQueue<String> told = new LinkedBlockingQueue<>();
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
                            (name, outcome, total) -> told.add(name + " " + outcome), loop, config))
                .get();
        loop.execute(() -> client.add(4, 1, 4_000_000_000L));
        assertEquals("4 RESET", told.poll(60, TimeUnit.SECONDS), answer);
        assertNotNull(broken.ended.poll(60, TimeUnit.SECONDS), answer);
      }
    }
  }

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
  void aMalformedConfigurationNamesItsKey() throws Exception {
    String good = config();
    Map<String, String> broken =
        new TreeMap<>(
            Map.of(
                good.replace("\"listen\"", "\"listenx\""),
                "listen is missing",
                good.replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\""),
                "listen is not host:port",
                good.replace("\"my-number\": 0", "\"my-number\": \"x\""),
                "settings.my-number is not a number",
                good.replace("\"aim-ns\"", "\"aim\""),
                "settings.classes.0.aim-ns is missing",
                good.replace("\"tariffs\"", "\"plans\""),
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
            (zones, said) ->
                broken.put(good.replaceFirst("\\{", "{\"zones\":" + zones + ","), said));
    for (Map.Entry<String, String> one : broken.entrySet()) {
      String said =
          assertThrows(InvalidConfigException.class, () -> NodeConfigParser.parse(one.getKey()))
              .getMessage();
      assertTrue(said.startsWith(one.getValue()), said);
      assertFalse(said.contains("\n"), said);
    }
  }

  /** So many archive servers as are planned for; entries as long as any that discovery writes. */
  @Test
  void aWholeListOfTheTargetsSizeIsTaken() throws Exception {
    String list = longList(8_900, 6);
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
  void aListThatIsFarTooLongIsRefusedAndTheOldOneStands() throws Exception {
    String list = longList(100_000, 6);
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
    for (int calls = 0; calls < 3; calls++) {
      assertTrue(discovery.next().first().contains("after=5"));
    }
    assertEquals("200", exchangeOrder(client(node), "t-1"));
    assertEquals(1, node.loop.submit(() -> node.upstreamPool.endpointCount()).get());
  }

  private static String longList(int entries, long revision) {
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

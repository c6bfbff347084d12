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

/** Connections of an edge node on loopback sockets, at and beyond their limits. */
@Timeout(180)
class ConnectionsTest extends NodeTest {
  @TempDir Path folder;

  private static long figure(EdgeNode node, String name) {
    for (String line : node.metrics.render().split("\n")) {
      if (line.startsWith("app." + name + "=")) {
        return Long.parseLong(line.substring(line.indexOf('=') + 1));
      }
    }
    throw new AssertionError("no figure " + name);
  }

  static void await(EdgeNode node, String name, long value) throws InterruptedException {
    while (figure(node, name) != value) {
      Thread.sleep(5);
    }
  }

  private EdgeNode bounded(String limits, FakePeer... servers) throws Exception {
    String[] members = new String[servers.length];
    for (int i = 0; i < members.length; i++) {
      members[i] = member("s-" + i, servers[i].address(), "Ready", 0);
    }
    return startNode(
        config(members).replace("\"counter\"", "\"connections\":" + limits + ",\"counter\""),
        folder);
  }

  /** Under many names: the module lets some out for each. */
  private static String[] many(FakePeer server) {
    String[] members = new String[40];
    for (int i = 0; i < members.length; i++) {
      members[i] = member("s-" + i, server.address(), "Ready", 0);
    }
    return members;
  }

  private static Socket from(int peer, InetSocketAddress to) throws IOException {
    Socket socket = new Socket();
    socket.bind(new InetSocketAddress("127.0.0." + peer, 0));
    socket.connect(to);
    socket.setSoTimeout(60_000);
    return socket;
  }

  private Socket from(int peer, EdgeNode node) throws IOException {
    Socket socket = from(peer, node.address());
    toClose.add(socket);
    return socket;
  }

  private static void reset(Socket socket) throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  /** How a peer's connection ended: a status, or "closed". */
  private static String end(Socket socket) throws IOException {
    try {
      FakePeer.Message answer = FakePeer.read(socket);
      return answer == null ? "closed" : status(answer);
    } catch (SocketTimeoutException e) {
      return "unheard";
    } catch (IOException e) {
      return "closed";
    }
  }

  /** Silent connections once took every place, or the place of whoever had been there longest. */
  @Test
  void silentClientsAreEvictedForOthers() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x")));
    EdgeNode node = bounded("{\"clients\":16}", server);
    Socket lone = from(2, node);
    assertEquals("200", exchangeOrder(lone, "t-lone"));
    List<Socket> greedy = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      greedy.add(from(1, node));
    }
    for (int i = 0; i < 8; i++) {
      Socket other = from(3 + i, node);
      assertEquals("200", exchangeOrder(other, "t-" + i));
      other.close();
    }
    assertEquals("200", exchangeOrder(lone, "t-again"), "it had fewer than others");
    for (Socket silent : greedy) {
      assertEquals("closed", end(silent));
    }
    assertEquals("200", exchangeOrder(from(1, node), "t-last"));
  }

  /** Bytes that are here already when room is wanted belong to a request that is taken. */
  @Test
  void anEvictionLosesNoRequestThatIsOnItsWay() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x")));
    EdgeNode node = bounded("{\"clients\":12}", server);
    List<Socket> kept = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      kept.add(from(1, node));
      assertEquals("200", exchangeOrder(kept.get(i), "t-" + i));
    }
    // All of them may be closed from now on.
    Thread.sleep(2_100);
    CompletableFuture<Void> busy = new CompletableFuture<>();
    node.loop.execute(busy::join);
    for (int i = 0; i < 12; i += 2) {
      sendOrder(kept.get(i), "u-" + i);
    }
    List<Socket> newcomers = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      newcomers.add(from(2, node));
      sendOrder(newcomers.get(i), "n-" + i);
    }
    busy.complete(null);
    for (int i = 0; i < 12; i += 2) {
      assertEquals("200", end(kept.get(i)));
    }
    for (Socket newcomer : newcomers) {
      assertEquals("200", end(newcomer));
    }
    assertTrue(figure(node, "connections.evicted") > 0);
  }

  @Test
  void overCapacityRequestsAreRejectedAndHealthChecksAnswered() throws Exception {
    CompletableFuture<Void> go = new CompletableFuture<>();
    FakePeer server =
        peer(
            m -> {
              go.join();
              m.answer(FakePeer.ok("", "x"));
            });
    EdgeNode node = bounded("{\"clients\":8}", server);
    List<Socket> busy = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      busy.add(from(1, node));
      sendOrder(busy.get(i), "t-" + i);
    }
    await(node, "in_progress", 8);
    Socket away = from(1, node);
    sendRequest(away, "POST /api", headers("away", "order", "20000"), "book");
    FakePeer.Message answer = FakePeer.read(away);
    assertEquals("503", status(answer));
    assertEquals("close", answer.headers().get("connection"));
    assertNull(FakePeer.read(away));
    Socket longest = from(1, node);
    longest
        .getOutputStream()
        .write(
            ("POST /api HTTP/1.1\r\n"
                    + lines(headers("long", "order", "20000"))
                    + "Expect: 100-continue\r\nContent-Length: 60000\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8));
    assertEquals("503", status(FakePeer.read(longest)), "it is told before its body came");
    Socket bad = from(1, node);
    sendRequest(bad, "POST /api", Map.of(), "");
    assertEquals("400", end(bad));
    Socket front = from(1, node);
    sendRequest(front, "GET /_health", Map.of(), "");
    assertEquals("503", status(FakePeer.read(front)), "not admitted yet");
    assertEquals(1 + 1 + 1 + 1, figure(node, "connections.refused"));
    assertEquals(2, figure(node, "handled.order.dropped"));
    go.complete(null);
    for (Socket one : busy) {
      assertEquals("200", end(one));
    }
  }

  private static String lines(Map<String, String> headers) {
    StringBuilder text = new StringBuilder();
    headers.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
    return text.toString();
  }

  /** Thousands at once: what was in hand is answered, and each newcomer is heard. */
  @Test
  void aSurgeLosesNoRequestInFlightAndAnswersEveryClient() throws Exception {
    surge("calm");
  }

  @Test
  void aSurgeInADrainAnswersEveryClient() throws Exception {
    surge("drain");
  }

  @Test
  void aSurgeInAnUpgradeAnswersEveryClient() throws Exception {
    surge("upgrade");
  }

  private void surge(String when) throws Exception {
    CompletableFuture<Void> go = new CompletableFuture<>();
    FakePeer server =
        peer(
            m -> {
              if (m.headers().get("x-trace-id").startsWith("hand")) {
                go.join();
              }
              m.answer(FakePeer.ok("", "x"));
            });
    String[] members = many(server);
    EdgeNode node = startNode(config(members), folder);
    List<Socket> hand = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      hand.add(from(9, node));
      sendOrder(hand.get(i), "hand-" + i);
    }
    await(node, "in_progress", 10);
    InetSocketAddress at = node.address();
    EdgeNode next = null;
    if (when.equals("upgrade")) {
      next =
          new EdgeNode(
              NodeConfigParser.parse(
                  config(members).replace("127.0.0.1:0", "127.0.0.1:" + at.getPort())),
              folder);
      toClose.add(next);
      next.startAsSuccessor();
    }
    List<Future<String>> ends = new ArrayList<>();
    ExecutorService callers = Executors.newFixedThreadPool(64);
    toClose.add(callers::shutdownNow);
    CompletableFuture<Void> half = new CompletableFuture<>();
    for (int i = 0; i < 2_000; i++) {
      int number = i;
      ends.add(
          callers.submit(
              () -> {
                if (number == 500) {
                  half.complete(null);
                }
                try (Socket socket = from(1 + number % 4, at)) {
                  sendRequest(socket, "GET /api", headers("s-" + number, "lookup", "20000"), "");
                  return end(socket);
                } catch (IOException e) {
                  // The listening socket is gone, or its connection was closed before the request
                  // was out.
                  return "closed";
                }
              }));
    }
    half.get();
    CompletableFuture<Void> stopped = null;
    if (!when.equals("calm")) {
      stopped = node.stop();
    }
    Map<String, Integer> counts = new TreeMap<>();
    for (Future<String> end : ends) {
      counts.merge(end.get(), 1, Integer::sum);
    }
    assertFalse(counts.containsKey("unheard"), counts.toString());
    if (!when.equals("drain")) {
      assertTrue(counts.get("200") > 1_000, counts.toString());
    }
    go.complete(null);
    for (Socket one : hand) {
      assertEquals("200", end(one));
    }
    if (stopped != null) {
      stopped.get(60, TimeUnit.SECONDS);
    } else {
      await(node, "connections.open", 10);
    }
  }

  /**
   * A client that ends its sending waits for its answer; one that is gone costs nobody more work.
   */
  @Test
  void aHalfClosedClientGetsItsResponses() throws Exception {
    CompletableFuture<Void> go = new CompletableFuture<>();
    FakePeer server =
        peer(
            m -> {
              go.join();
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
    await(node, "connections.half_closed", 2);
    go.complete(null);
    for (int i = 0; i < 3; i++) {
      assertEquals("t-" + i, answer(client).body());
    }
    assertNull(FakePeer.read(client));
    FakePeer.Message last = answer(single);
    assertEquals("t-single", last.body());
    assertEquals("close", last.headers().get("connection"));
    assertNull(FakePeer.read(single));
    Socket half = client(node);
    sendOrder(half, "t-9");
    half.getOutputStream().write("POST /api HT".getBytes(StandardCharsets.UTF_8));
    half.shutdownOutput();
    assertEquals("t-9", answer(half).body());
    assertNull(FakePeer.read(half));
    await(node, "connections.open", 0);
  }

  private static FakePeer.Message answer(Socket from) throws IOException {
    FakePeer.Message answer = FakePeer.read(from);
    while (answer.first().contains(" 100 ")) {
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
    assertEquals(1, figure(node, "in_progress"));
    client.close();
    await(node, "in_progress", 0);
    await(node, "connections.open", 0);
  }

  /** A reset wherever it comes, and closes that cross, cost that connection alone. */
  @Test
  void resetsAnywhereCostNothingElse() throws Exception {
    CompletableFuture<Void> go = new CompletableFuture<>();
    FakePeer server =
        peer(
            m -> {
              if (m.headers().get("x-trace-id").startsWith("wait")) {
                go.join();
              }
              m.answer(FakePeer.ok("", "x".repeat(60_000)));
            });
    EdgeNode node = startNode(config(many(server)));
    Socket well = client(node);
    for (int i = 0; i < 20; i++) {
      CompletableFuture<Void> busy = new CompletableFuture<>();
      node.loop.execute(busy::join);
      reset(from(1, node));
      busy.complete(null);
      Socket head = from(1, node);
      head.getOutputStream().write("POST /api HTTP/1.1\r\nHost".getBytes(StandardCharsets.UTF_8));
      reset(head);
      Socket upload = from(1, node);
      upload
          .getOutputStream()
          .write(
              ("POST /api HTTP/1.1\r\n"
                      + lines(headers("up-" + i, "order", "20000"))
                      + "Content-Length: 60000\r\n\r\nhalf")
                  .getBytes(StandardCharsets.UTF_8));
      reset(upload);
      Socket waits = from(1, node);
      sendOrder(waits, "wait-" + i);
      reset(waits);
      Socket answered = from(1, node);
      sendOrder(answered, "read-" + i);
      answered.getInputStream().read();
      reset(answered);
      Socket both = from(1, node);
      Map<String, String> last = headers("both-" + i, "order", "20000");
      last.put("Connection", "close");
      sendRequest(both, "POST /api", last, "book");
      both.close();
      assertEquals("200", exchangeOrder(well, "well-" + i));
    }
    go.complete(null);
    await(node, "connections.open", 1);
    await(node, "in_progress", 0);
    await(node, "connections.held_bytes", 0);
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
    await(node, "connections.timed_out.unread", 1);
    await(node, "connections.open", 0);
    await(node, "connections.held_bytes", 0);
  }

  @Test
  void noCustomersBufferedBodiesExcludeAnothers() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x")));
    EdgeNode node = bounded("{\"held-bytes\":400000}", server);
    List<Socket> greedy = new ArrayList<>();
    int refused = 0;
    for (int i = 0; i < 12; i++) {
      Socket socket = client(node);
      greedy.add(socket);
      socket.setSoTimeout(300);
      socket
          .getOutputStream()
          .write(
              ("POST /api HTTP/1.1\r\n"
                      + lines(headers("g-" + i, "order", "20000"))
                      + "Content-Length: 60000\r\n\r\nsome of it")
                  .getBytes(StandardCharsets.UTF_8));
      if (!end(socket).equals("unheard")) {
        refused++;
      } else if (i == 5) {
        Map<String, String> other = headers("other", "order", "20000");
        other.put("Cookie", "customer=0000000000000099");
        Socket small = client(node);
        sendRequest(small, "POST /api", other, "x".repeat(30_000));
        assertEquals("200", end(small));
      }
    }
    assertTrue(refused >= 6, refused + " of 12 were told");
    assertEquals(refused, figure(node, "connections.bodies_refused"));
    for (Socket one : greedy) {
      reset(one);
    }
    await(node, "connections.held_bytes", 0);
  }

  /**
   * What is held of answers is bounded as well: beyond that they go on as they come, and none is
   * lost.
   */
  @Test
  void responsesOverTheBufferCapacityAreStreamed() throws Exception {
    String body = "y".repeat(60_000);
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", body)));
    EdgeNode node = bounded("{\"held-bytes\":131072}", server);
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 16; i++) {
      clients.add(client(node));
      sendRequest(clients.get(i), "GET /api", headers("t-" + i, "lookup", "20000"), "");
    }
    for (Socket client : clients) {
      assertTrue(body.equals(FakePeer.read(client).body()));
    }
    await(node, "connections.held_bytes", 0);
  }

  /**
   * A server that takes connections and never answers: its attempt ends, and that connection is
   * used no more.
   */
  @Test
  void aConnectionToAnUnresponsiveUpstreamIsNotReused() throws Exception {
    FakePeer silent =
        peer(
            m -> {
              if (!m.headers().get("x-trace-id").equals("t-1")) {
                m.answer(FakePeer.ok("", "x"));
              }
            });
    EdgeNode node = startNode(silent);
    Socket client = client(node);
    sendRequest(client, "POST /api", headers("t-1", "strict", "2500"), "book");
    assertEquals("502", end(client));
    silent.next();
    assertEquals("200", exchangeOrder(client, "t-2"));
    assertNotNull(silent.ended.poll(30, TimeUnit.SECONDS));
    assertEquals(2, figure(node, "connections.archive_servers.opened"));
  }

  /** One at its limit refuses further connections: requests go by those it has. */
  @Test
  void anUpstreamAtItsConnectionLimitServesOnOpenConnections() throws Exception {
    ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    toClose.add(listening);
    CompletableFuture<Void> closed = new CompletableFuture<>();
    Thread thread =
        new Thread(
            () -> {
              try (Socket only = listening.accept()) {
                listening.close();
                closed.complete(null);
                for (FakePeer.Message m = FakePeer.read(only); m != null; m = FakePeer.read(only)) {
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
    assertEquals("200", end(first));
    List<Socket> clients = new ArrayList<>();
    for (int i = 1; i < 4; i++) {
      clients.add(client(node));
      sendOrder(clients.get(i - 1), "t-" + i);
    }
    for (Socket client : clients) {
      assertEquals("200", end(client));
    }
    assertEquals(1, figure(node, "connections.archive_servers.open"));
    assertTrue(figure(node, "connections.archive_servers.reused") >= 3);
  }

  /** An address that moves: nothing for the new server goes by connections of the old one. */
  @Test
  void aServerBackColdOrElsewhereGetsNewConnections() throws Exception {
    FakePeer old = peer(m -> m.answer(FakePeer.ok("", "old")));
    FakePeer moved = peer(m -> m.answer(FakePeer.ok("", "new")));
    CompletableFuture<Void> go = new CompletableFuture<>();
    String line =
        "{\"revision\":8,\"complete\":true,\"members\":["
            + member("s-9", old.address(), "Ready", System.currentTimeMillis() - 60_000)
            + ","
            + member("s-0", moved.address(), "Ready", 0)
            + "]}\n";
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
    assertEquals("200", exchangeOrder(client, "t-1"));
    Socket usedBefore = old.next().socket();
    go.complete(null);
    assertNotNull(old.ended.poll(60, TimeUnit.SECONDS), "its idle connection goes");
    for (int i = 0; old.seen.isEmpty() || moved.seen.isEmpty(); i++) {
      assertEquals("200", exchangeOrder(client, "u-" + i));
    }
    assertTrue(old.next().socket() != usedBefore);
  }

  @Test
  void limitsThatCanNotBeAreRefusedAndTooLargeOnesClamped() throws Exception {
    String good = config();
    Map<String, String> broken =
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
    for (Map.Entry<String, String> one : broken.entrySet()) {
      String text = good.replace("\"counter\"", "\"connections\":" + one.getKey() + ",\"counter\"");
      String said =
          assertThrows(InvalidConfigException.class, () -> NodeConfigParser.parse(text))
              .getMessage();
      assertTrue(said.startsWith(one.getValue()), said);
      assertFalse(said.contains("\n"), said);
    }
    EdgeNode node = bounded("{\"clients\":100000}", peer(m -> m.answer(FakePeer.ok("", "x"))));
    assertEquals(1, node.budget().clamped().size());
    assertEquals(NodeConfigParser.parse(good).maxDescriptors(), 1_024);
    assertTrue(node.budget().clients() < 1_024);
  }

  /**
   * The descriptors run out though the budget has room: the operators' address still answers, and
   * it passes by itself.
   */
  @Test
  void descriptorsThatRunOutFromOutsideAreSurvived() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x")));
    CompletableFuture<Void> never = new CompletableFuture<>();
    discovery =
        peer(
            m -> {
              m.answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
              never.join();
            });
    int opsPort;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      opsPort = free.getLocalPort();
    }
    Path file = folder.resolve("config.json");
    Files.writeString(
        file,
        config(member("s-0", server.address(), "Ready", 0))
            .replace("\"counter\"", "\"ops\":\"127.0.0.1:" + opsPort + "\",\"counter\""));
    Process process = startProcess(file, List.of("sh", "-c", "ulimit -n 90; exec \"$0\" \"$@\""));
    InetSocketAddress at = awaitListenAddress(process);
    while (!call(opsPort, "check").startsWith("ACK")) {
      Thread.sleep(20);
    }
    List<Socket> all = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      all.add(from(1, at));
    }
    long began = System.nanoTime();
    while (exhausted(opsPort) == 0) {
      Thread.sleep(20);
    }
    Thread.sleep(500);
    long tries = exhausted(opsPort);
    long most = (System.nanoTime() - began) / 20_000_000 + 50;
    assertTrue(tries <= 3 * most, "it spins: " + tries + " of " + most);
    for (Socket one : all) {
      one.close();
    }
    Socket client = from(2, at);
    toClose.add(client);
    assertEquals("200", exchangeOrder(client, "t-1"));
    assertTrue(process.isAlive());
  }

  /**
   * Idle clients to the brim while discovery is away: its line, the counter's, servers' and
   * operators' are kept free.
   */
  @Test
  void idleClientsKeepNobodyElseFromTheDescriptors() throws Exception {
    FakePeer leaves = peer(m -> m.answer(FakePeer.ok("", "first")));
    FakePeer stays = peer(m -> m.answer(FakePeer.ok("", "second")));
    CompletableFuture<Void> never = new CompletableFuture<>();
    AtomicBoolean away = new AtomicBoolean(true);
    String change =
        "{\"revision\":6,\"complete\":false,\"members\":["
            + member("s-0", leaves.address(), "Terminating", 0)
            + ","
            + member("s-1", stays.address(), "Ready", 0)
            + "]}\n";
    discovery =
        peer(
            m -> {
              if (discovery.seen.size() > 1 && away.get()) {
                never.join();
              }
              String told = away.get() ? "\n" : change;
              m.answer(
                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      + Integer.toHexString(told.length())
                      + "\r\n"
                      + told
                      + "\r\n");
              never.join();
            });
    int opsPort;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      opsPort = free.getLocalPort();
    }
    Path file = folder.resolve("config.json");
    Files.writeString(
        file,
        config(member("s-0", leaves.address(), "Ready", 0))
            .replace("1024", "256")
            .replace("\"counter\"", "\"ops\":\"127.0.0.1:" + opsPort + "\",\"counter\""));
    Process process = startProcess(file, List.of("sh", "-c", "ulimit -n 256; exec \"$0\" \"$@\""));
    InetSocketAddress at = awaitListenAddress(process);
    List<Socket> idle = new ArrayList<>();
    toClose.add(
        () -> {
          for (Socket one : idle) {
            one.close();
          }
        });
    for (int i = 0; i < 500; i++) {
      idle.add(from(1 + i % 4, at));
    }
    // Until watches were opened, and closed, beside one that hangs.
    while (discovery.accepted() < 8) {
      assertTrue(call(opsPort, "vars").contains("app.connections.open="), "operators are answered");
    }
    assertEquals("first", answered(at));
    away.set(false);
    String served;
    do {
      served = answered(at);
    } while (!served.equals("second"));
    assertTrue(counter.accepted() > 0, "the counter is called");
    assertEquals(0, exhausted(opsPort), "the budget keeps below the bound");
    assertTrue(process.isAlive());
  }

  /** The body of the answer to a newcomer, who comes again where a connection ends without one. */
  private static String answered(InetSocketAddress at) throws IOException {
    Map<String, String> headers = headers("t-" + System.nanoTime(), "lookup", "20000");
    headers.put("Cookie", String.format("customer=%016x", System.nanoTime() % 100_000));
    headers.put("X-Quota", "units=1,spread=2,first=0");
    while (true) {
      try (Socket client = from(9, at)) {
        sendRequest(client, "GET /api", headers, "");
        FakePeer.Message answer = FakePeer.read(client);
        if (answer != null) {
          assertEquals("200", status(answer));
          return answer.body();
        }
      } catch (SocketException e) {
        // There was no place: it comes again, as clients do.
      }
    }
  }

  private static long exhausted(int opsPort) throws IOException {
    String text = call(opsPort, "vars");
    int from = text.indexOf("descriptors_exhausted=") + "descriptors_exhausted=".length();
    return Long.parseLong(text.substring(from, text.indexOf('\n', from)));
  }

  private static String call(int port, String line) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.setSoTimeout(30_000);
      socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  /** Connections that end in every way leave nothing: no count, no held byte, no buffer. */
  @Test
  void nothingIsLeftOfTwentyThousandConnections() throws Exception {
    List<String> leaks = new ArrayList<>();
    Handler listener =
        new Handler() {
          @Override
          public synchronized void publish(LogRecord said) {
            if (String.valueOf(said.getMessage()).contains("LEAK")) {
              leaks.add(said.getMessage());
            }
          }

          @Override
          public void flush() {}

          @Override
          public void close() {}
        };
    Logger logger = Logger.getLogger(ResourceLeakDetector.class.getName());
    logger.addHandler(listener);
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
        done.add(callers.submit(() -> one(node.address(), number)));
      }
      for (Future<?> one : done) {
        one.get();
      }
      await(node, "connections.open", 0);
      await(node, "in_progress", 0);
      // The last connection left the table in a task that releases its bytes a moment later.
      node.loop.submit(() -> {}).get();
      for (String name :
          List.of("connections.idle", "connections.handshaking", "connections.held_bytes")) {
        assertEquals(0, figure(node, name), name);
      }
      for (int i = 0; i < 5; i++) {
        System.gc();
        node.loop.submit(() -> PooledByteBufAllocator.DEFAULT.buffer(64).release()).get();
      }
      assertEquals(List.of(), leaks);
    } finally {
      ResourceLeakDetector.setLevel(before);
      logger.removeHandler(listener);
    }
  }

  private static Void one(InetSocketAddress at, int number) throws IOException {
    try (Socket socket = from(1 + number % 32, at)) {
      String id = "t-" + number;
      switch (number % 10) {
        case 0 -> reset(socket);
        case 1 -> socket.getOutputStream().write("POST /api HT".getBytes(StandardCharsets.UTF_8));
        case 2 -> {
          sendOrder(socket, id);
          end(socket);
        }
        case 3 -> {
          sendOrder(socket, id);
          reset(socket);
        }
        case 4 -> {
          sendOrder(socket, id);
          socket.shutdownOutput();
          end(socket);
        }
        case 5 -> {
          socket.getOutputStream().write("nonsense\r\n\r\n".getBytes(StandardCharsets.UTF_8));
          end(socket);
        }
        case 6 ->
            socket
                .getOutputStream()
                .write(
                    ("POST /api HTTP/1.1\r\n"
                            + lines(headers(id, "order", "20000"))
                            + "Content-Length: 50000\r\n\r\nhalf")
                        .getBytes(StandardCharsets.UTF_8));
        case 7 -> {
          sendOrder(socket, id);
          sendOrder(socket, id + "x");
        }
        case 8 -> {
          sendOrder(socket, id);
          sendOrder(socket, id + "x");
          end(socket);
          end(socket);
        }
        default -> {
          sendRequest(socket, "GET /_health", Map.of(), "");
          end(socket);
        }
      }
    } catch (IOException e) {
      // The node ended it first.
    }
    return null;
  }
}

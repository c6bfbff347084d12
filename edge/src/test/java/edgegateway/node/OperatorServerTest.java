package edgegateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.node.operators.OperatorServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Calls of operators to an edge node over loopback sockets. */
@Timeout(60)
class OperatorServerTest extends NodeTest {
  @TempDir Path folder;

  private OperatorServer ops(EdgeNode node) throws Exception {
    OperatorServer ops =
        new OperatorServer(node.operatorCommands(), new InetSocketAddress("127.0.0.1", 0));
    toClose.add(ops);
    return ops;
  }

  private static String call(OperatorServer ops, String line) throws IOException {
    try (Socket socket = new Socket(ops.address().getAddress(), ops.address().getPort())) {
      socket.setSoTimeout(60_000);
      socket.getOutputStream().write(line.getBytes(StandardCharsets.UTF_8));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  /** Sends a line and returns the first word of the answer, {@code ACK} or {@code NAK}. */
  private static String ackOrNak(OperatorServer ops, String line) throws IOException {
    return call(ops, line + "\n").split("\\s")[0];
  }

  private static Map<String, String> vars(OperatorServer ops) throws IOException {
    String text = call(ops, "vars\r\n");
    assertTrue(text.endsWith("\n--\n"), text);
    Map<String, String> metrics = new TreeMap<>();
    for (String line : text.substring(0, text.length() - 3).split("\n")) {
      metrics.put(line.split("=")[0], line.split("=")[1]);
    }
    return metrics;
  }

  /** Polls until a metric has the given value, since metrics are updated with a delay. */
  private static void awaitMetric(OperatorServer ops, String name, String value)
      throws IOException {
    while (!value.equals(vars(ops).get(name))) {
      assertFalse(Thread.interrupted(), name + " did not become " + value);
    }
  }

  private static void awaitReady(OperatorServer ops) throws IOException {
    while (!ackOrNak(ops, "check").equals("ACK")) {
      assertFalse(Thread.interrupted(), "the node does not become ready for clients");
    }
  }

  @Test
  void anInvalidCallIsAnsweredWithNak() throws Exception {
    OperatorServer ops = ops(startNode(peer(m -> m.answer(FakePeer.ok("", "x")))));
    for (String line :
        List.of(
            "",
            "   ",
            "nonsense",
            "check now",
            "set-down",
            "set-down s-0 s-1",
            "set-up",
            "vars 1",
            "set-down never",
            "set-up never",
            "drain-on 5",
            "x".repeat(5_000))) {
      assertEquals("NAK", ackOrNak(ops, line), line);
    }
    try (Socket client = new Socket(ops.address().getAddress(), ops.address().getPort())) {
      client.getOutputStream().write("vars".getBytes(StandardCharsets.UTF_8));
      client.shutdownOutput();
      assertTrue(
          new String(client.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
              .startsWith("NAK"));
    }
  }

  @Test
  void anEventLoopStallAppearsInTheMetrics() throws Exception {
    EdgeNode node = startNode(peer(m -> m.answer(FakePeer.ok("", "x"))));
    OperatorServer ops = ops(node);
    CompletableFuture<Void> stallEnded = new CompletableFuture<>();
    node.loop.execute(
        () -> {
          try {
            Thread.sleep(250);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          stallEnded.complete(null);
        });
    stallEnded.get();
    // The timer of the policy fires every 10 ms, so it became due during the stall.
    while (Long.parseLong(vars(ops).get("app.loop.longest_standstill_ms")) < 200) {
      assertFalse(Thread.interrupted(), vars(ops).toString());
    }
    assertTrue(Long.parseLong(vars(ops).get("app.discovery.longest_wait_ms")) < 250);
    assertTrue(node.metrics.longestLoopStallMillis() >= 200);
    assertTrue(node.metrics.longestDiscoveryWaitMillis() < 250);
  }

  @Test
  void checkIsAcknowledgedOnceTheNodeIsReadyForClients() throws Exception {
    EdgeNode node = startNode(peer(m -> m.answer(FakePeer.ok("", "x"))));
    OperatorServer ops = ops(node);
    assertEquals("NAK", ackOrNak(ops, "check"));
    node.admit();
    awaitReady(ops);
  }

  /** Connections that send no call must not exhaust the connections allowed for operators. */
  @Test
  void idleConnectionsDoNotBlockFurtherCalls() throws Exception {
    OperatorServer ops = ops(startNode(peer(m -> m.answer(FakePeer.ok("", "x")))));
    for (int i = 0; i < 100; i++) {
      toClose.add(new Socket(ops.address().getAddress(), ops.address().getPort()));
    }
    assertEquals("NAK", ackOrNak(ops, "nonsense"));
  }

  @Test
  void metricsCountRequestsByClassAndResult() throws Exception {
    CompletableFuture<Void> finish = new CompletableFuture<>();
    FakePeer server =
        peer(
            m -> {
              if (m.headers().get("x-trace-id").equals("t-slow")) {
                finish.join();
              }
              m.answer(
                  m.headers().get("x-trace-id").equals("t-bad")
                      ? "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
                      : FakePeer.ok("", "x"));
            });
    EdgeNode node = startNode(server);
    OperatorServer ops = ops(node);
    Map<String, String> initial = vars(ops);
    for (String requestClass : List.of("lookup", "order", "strict")) {
      for (String end : List.of("passed", "dropped", "bad_gateway")) {
        assertEquals("0", initial.get("app.handled." + requestClass + "." + end));
      }
    }
    Socket client = client(node);
    assertEquals("200", exchangeOrder(client, "t-1"));
    sendRequest(client, "POST /api", headers("t-bad", "strict", "20000"), "book");
    assertEquals("502", status(FakePeer.read(client)));
    sendRequest(client, "GET /_health", Map.of(), "");
    FakePeer.read(client);
    sendRequest(client, "GET /api", headers("t-2", "lookup", "1"), "");
    assertEquals("503", status(FakePeer.read(client)));
    sendOrder(client, "t-slow");
    awaitMetric(ops, "app.upstream_tries", "3");
    Map<String, String> afterwards = vars(ops);
    assertEquals("1", afterwards.get("app.handled.order.passed"));
    assertEquals("1", afterwards.get("app.handled.strict.bad_gateway"));
    assertEquals("1", afterwards.get("app.handled.lookup.dropped"));
    assertEquals("1", afterwards.get("app.in_progress"));
    assertEquals("1", afterwards.get("app.known_archive_servers"));
    assertEquals("0", afterwards.get("app.skipped_archive_servers"));
    finish.complete(null);
    assertEquals("200", status(FakePeer.read(client)));
    awaitMetric(ops, "app.in_progress", "0");
  }

  @Test
  void anEndpointSetDownByAnOperatorIsNotUsedUntilSetUp() throws Exception {
    FakePeer first = peer(m -> m.answer(FakePeer.ok("", "x")));
    FakePeer second = peer(m -> m.answer(FakePeer.ok("", "x")));
    EdgeNode node =
        startNode(
            config(
                member("s-0", first.address(), "Ready", 0),
                member("s-1", second.address(), "Ready", 0)),
            folder);
    OperatorServer ops = ops(node);
    assertEquals("ACK", ackOrNak(ops, "set-down s-0"));
    assertEquals("ACK", ackOrNak(ops, "set-down s-0"));
    awaitMetric(ops, "app.skipped_archive_servers", "1");
    Socket client = client(node);
    for (int i = 0; i < 20; i++) {
      assertEquals("200", exchangeOrder(client, "t-" + i));
    }
    assertTrue(first.received.isEmpty());
    // The new process of an upgrade takes the ejection over, and each process follows calls to the
    // other.
    EdgeNode successor =
        startNode(
            config(
                member("s-0", first.address(), "Ready", 0),
                member("s-1", second.address(), "Ready", 0)),
            folder);
    OperatorServer successorOps = ops(successor);
    awaitMetric(successorOps, "app.skipped_archive_servers", "1");
    assertEquals("ACK", ackOrNak(successorOps, "set-up s-0"));
    awaitMetric(ops, "app.skipped_archive_servers", "0");
    assertEquals("ACK", ackOrNak(ops, "set-up s-0"));
    for (int i = 0; first.received.isEmpty(); i++) {
      assertFalse(Thread.interrupted(), "the readmitted endpoint gets no request");
      assertEquals("200", exchangeOrder(client, "u-" + i));
    }
  }

  /** Guards against ejections that are lost when both processes of an upgrade accept them. */
  @Test
  void commandsAtBothProcessesOfAnUpgradeAllHold() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x")));
    String config = config(asManyMembers(server));
    EdgeNode oldNode = startNode(config, folder);
    EdgeNode newNode = startNode(config, folder);
    List<OperatorServer> both = List.of(ops(oldNode), ops(newNode));
    for (int i = 0; i < 12; i++) {
      assertEquals("ACK", ackOrNak(both.get(i % 2), "set-down s-" + i));
    }
    for (int i = 0; i < 4; i++) {
      assertEquals("ACK", ackOrNak(both.get(i / 2), "set-up s-" + i));
    }
    for (OperatorServer ops : both) {
      awaitMetric(ops, "app.skipped_archive_servers", "8");
    }
    // Files of the two processes could still undo something at the next look.
    assertEquals("ACK", ackOrNak(both.get(0), "set-down s-20"));
    for (OperatorServer ops : both) {
      awaitMetric(ops, "app.skipped_archive_servers", "9");
    }
    OperatorServer laterOps = ops(startNode(config, folder));
    awaitMetric(laterOps, "app.skipped_archive_servers", "9");
  }

  /** As the test above, for zones, whose ejections are in a file of their own. */
  @Test
  void zonesEjectedAtBothProcessesOfAnUpgradeAllHold() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x")));
    String config =
        config(memberIn("a", server), memberIn("b", server), memberIn("c", server))
            .replaceFirst("\"b\"(\\s+\\])", "\"b\", \"c\"$1");
    EdgeNode oldNode = startNode(config, folder);
    EdgeNode newNode = startNode(config, folder);
    List<OperatorServer> both = List.of(ops(oldNode), ops(newNode));
    assertEquals("ACK", ackOrNak(both.get(0), "zone-out a"));
    assertEquals("ACK", ackOrNak(both.get(1), "zone-out b"));
    for (OperatorServer ops : both) {
      awaitMetric(ops, "app.skipped_archive_servers", "2");
    }
    assertEquals("ACK", ackOrNak(both.get(0), "zone-in b"));
    awaitMetric(both.get(1), "app.skipped_archive_servers", "1");
    assertEquals("ACK", ackOrNak(both.get(1), "zone-out c"));
    OperatorServer laterOps = ops(startNode(config, folder));
    for (OperatorServer ops : List.of(both.get(0), both.get(1), laterOps)) {
      awaitMetric(ops, "app.skipped_archive_servers", "2");
      assertTrue(
          call(ops, "zones\n")
              .matches("a state=out .*\n(b state=(in|returning)) .*\nc state=out .*\n--\n"));
    }
  }

  private static String memberIn(String zone, FakePeer server) {
    return member("s-" + zone, server.address(), "Ready", 0)
        .replace("\"locality\":\"a\"", "\"locality\":\"" + zone + "\"");
  }

  @Test
  void aCommandThatCannotBeStoredIsRefusedAndHasNoEffect() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x")));
    EdgeNode node = startNode(config(asManyMembers(server)), folder);
    OperatorServer ops = ops(node);
    Path obstacle = Files.createDirectory(folder.resolve("left-out.json.draft"));
    assertEquals("NAK", ackOrNak(ops, "set-down s-0"));
    assertEquals("0", vars(ops).get("app.skipped_archive_servers"));
    Files.delete(obstacle);
    assertEquals("ACK", ackOrNak(ops, "set-down s-1"));
    assertEquals("1", vars(ops).get("app.skipped_archive_servers"));
    assertEquals("[\"s-1\"]", Files.readString(folder.resolve("left-out.json")));
  }

  @Test
  void aZoneEjectedByAnOperatorIsNotUsedUntilReadmitted() throws Exception {
    FakePeer first = peer(m -> m.answer(FakePeer.ok("", "x")));
    FakePeer second = peer(m -> m.answer(FakePeer.ok("", "x")));
    String config =
        config(
            member("s-0", first.address(), "Ready", 0),
            member("s-1", second.address(), "Ready", 0)
                .replace("\"locality\":\"a\"", "\"locality\":\"b\""));
    EdgeNode node = startNode(config, folder);
    OperatorServer ops = ops(node);
    for (String line :
        List.of(
            "zone-out",
            "zone-out nowhere",
            "zone-in",
            "zone-in a 0",
            "zone-in a x",
            "zone-in a 10000",
            "zone-out a 5",
            "zones a")) {
      assertEquals("NAK", ackOrNak(ops, line), line);
    }
    assertEquals(
        "a state=in share=1.00 servers=1 usable=1\nb state=in share=1.00 servers=1 usable=1\n--\n",
        call(ops, "zones\n"));
    assertEquals("ACK", ackOrNak(ops, "zone-out a"));
    assertEquals("NAK no server of another zone could be sent to\n", call(ops, "zone-out b\n"));
    Socket client = client(node);
    for (int i = 0; i < 20; i++) {
      assertEquals("200", exchangeOrder(client, "t-" + i));
    }
    assertTrue(first.received.isEmpty());
    assertTrue(
        call(ops, "zones\n")
            .matches(
                "a state=out share=0.00 servers=1 usable=0 since_s=\\d+ why=hand\nb state=in (.*)\n--\n"),
        call(ops, "zones\n"));
    // The new process of an upgrade takes the ejection over, and each process follows calls to the
    // other.
    EdgeNode successor = startNode(config, folder);
    OperatorServer successorOps = ops(successor);
    awaitMetric(successorOps, "app.skipped_archive_servers", "1");
    assertEquals("ACK", ackOrNak(successorOps, "zone-in a 1"));
    awaitMetric(ops, "app.skipped_archive_servers", "0");
    assertTrue(call(ops, "zones\n").startsWith("a state=returning "), call(ops, "zones\n"));
    for (int i = 0; first.received.isEmpty(); i++) {
      assertFalse(Thread.interrupted(), "the readmitted endpoint gets no request");
      assertEquals("200", exchangeOrder(client, "u-" + i));
    }
  }

  @Test
  void anInvalidFileOfSetDownEndpointsIsIgnored() throws Exception {
    Files.writeString(folder.resolve("left-out.json"), "{half");
    FakePeer first = peer(m -> m.answer(FakePeer.ok("", "x")));
    EdgeNode node = startNode(config(member("s-0", first.address(), "Ready", 0)), folder);
    assertEquals("200", exchangeOrder(client(node), "t-1"));
    assertEquals("ACK", ackOrNak(ops(node), "set-down s-0"));
    assertEquals("[\"s-0\"]", Files.readString(folder.resolve("left-out.json")));
  }

  @Test
  void aDrainClosesConnectionsAndKeepsAnsweringHealthChecks() throws Exception {
    CompletableFuture<Void> finish = new CompletableFuture<>();
    FakePeer server =
        peer(
            m -> {
              if (m.headers().get("x-trace-id").equals("t-2")) {
                finish.join();
              }
              m.answer(FakePeer.ok("", "x"));
            });
    EdgeNode node = startNode(server);
    OperatorServer ops = ops(node);
    node.admit();
    awaitReady(ops);
    Socket busy = client(node);
    assertEquals("200", exchangeOrder(busy, "t-1"));
    server.next();
    sendOrder(busy, "t-2");
    server.next();
    Socket idle = client(node);
    assertEquals("ACK", ackOrNak(ops, "drain-on"));
    assertEquals("ACK", ackOrNak(ops, "drain-on"));
    assertEquals("NAK", ackOrNak(ops, "check"));
    finish.complete(null);
    FakePeer.Message answer = FakePeer.read(busy);
    assertEquals("200", status(answer));
    assertEquals("close", answer.headers().get("connection"));
    assertNull(FakePeer.read(idle), "the drain does not close an idle connection");
    Socket healthCheck = client(node);
    sendRequest(healthCheck, "GET /_health", Map.of(), "");
    assertEquals("503", status(FakePeer.read(healthCheck)));
    assertEquals("200", exchangeOrder(client(node), "t-3"));
    assertEquals("ACK", ackOrNak(ops, "drain-off"));
    assertEquals("ACK", ackOrNak(ops, "check"));
    Socket persistentClient = client(node);
    for (String id : List.of("t-4", "t-5")) {
      sendOrder(persistentClient, id);
      assertFalse(FakePeer.read(persistentClient).headers().containsKey("connection"));
    }
    CompletableFuture<Void> stopped = node.stop();
    assertEquals("NAK", ackOrNak(ops, "drain-off"));
    assertNull(FakePeer.read(persistentClient));
    stopped.get(60, TimeUnit.SECONDS);
  }
}

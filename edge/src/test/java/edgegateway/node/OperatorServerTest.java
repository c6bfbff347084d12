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

/** What operators ask of an edge node, on loopback sockets. */
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

  private static String word(OperatorServer ops, String line) throws IOException {
    return call(ops, line + "\n").split("\\s")[0];
  }

  private static Map<String, String> vars(OperatorServer ops) throws IOException {
    String text = call(ops, "vars\r\n");
    assertTrue(text.endsWith("\n--\n"), text);
    Map<String, String> figures = new TreeMap<>();
    for (String line : text.substring(0, text.length() - 3).split("\n")) {
      figures.put(line.split("=")[0], line.split("=")[1]);
    }
    return figures;
  }

  /** Asks until a figure is as wanted: figures may lag. */
  private static void awaitFigure(OperatorServer ops, String name, String value)
      throws IOException {
    while (!value.equals(vars(ops).get(name))) {
      assertFalse(Thread.interrupted(), name + " is not " + value);
    }
  }

  private static void awaitTaking(OperatorServer ops) throws IOException {
    while (!word(ops, "check").equals("ACK")) {
      assertFalse(Thread.interrupted(), "it takes no clients");
    }
  }

  @Test
  void whatIsNoCallGetsANo() throws Exception {
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
      assertEquals("NAK", word(ops, line), line);
    }
    try (Socket half = new Socket(ops.address().getAddress(), ops.address().getPort())) {
      half.getOutputStream().write("vars".getBytes(StandardCharsets.UTF_8));
      half.shutdownOutput();
      assertTrue(
          new String(half.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
              .startsWith("NAK"));
    }
  }

  @Test
  void aStandstillOfTheLoopIsAmongTheFigures() throws Exception {
    EdgeNode node = startNode(peer(m -> m.answer(FakePeer.ok("", "x"))));
    OperatorServer ops = ops(node);
    CompletableFuture<Void> stood = new CompletableFuture<>();
    node.loop.execute(
        () -> {
          try {
            Thread.sleep(250);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          stood.complete(null);
        });
    stood.get();
    // The module's timer, asked for each 10 ms, came due meanwhile.
    while (Long.parseLong(vars(ops).get("app.loop.longest_standstill_ms")) < 200) {
      assertFalse(Thread.interrupted(), vars(ops).toString());
    }
    assertTrue(Long.parseLong(vars(ops).get("app.discovery.longest_wait_ms")) < 250);
    assertTrue(node.metrics.longestLoopStallMillis() >= 200);
    assertTrue(node.metrics.longestDiscoveryWaitMillis() < 250);
  }

  @Test
  void checkSaysYesOnceTheNodeTakesClients() throws Exception {
    EdgeNode node = startNode(peer(m -> m.answer(FakePeer.ok("", "x"))));
    OperatorServer ops = ops(node);
    assertEquals("NAK", word(ops, "check"));
    node.admit();
    awaitTaking(ops);
  }

  /** Callers that say nothing keep no place from the others. */
  @Test
  void silentCallersAreNotInTheWay() throws Exception {
    OperatorServer ops = ops(startNode(peer(m -> m.answer(FakePeer.ok("", "x")))));
    for (int i = 0; i < 100; i++) {
      toClose.add(new Socket(ops.address().getAddress(), ops.address().getPort()));
    }
    assertEquals("NAK", word(ops, "nonsense"));
  }

  @Test
  void figuresCountEachRequestByItsEnd() throws Exception {
    CompletableFuture<Void> go = new CompletableFuture<>();
    FakePeer server =
        peer(
            m -> {
              if (m.headers().get("x-trace-id").equals("t-slow")) {
                go.join();
              }
              m.answer(
                  m.headers().get("x-trace-id").equals("t-bad")
                      ? "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
                      : FakePeer.ok("", "x"));
            });
    EdgeNode node = startNode(server);
    OperatorServer ops = ops(node);
    Map<String, String> first = vars(ops);
    for (String requestClass : List.of("lookup", "order", "strict")) {
      for (String end : List.of("passed", "dropped", "bad_gateway")) {
        assertEquals("0", first.get("app.handled." + requestClass + "." + end));
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
    awaitFigure(ops, "app.upstream_tries", "3");
    Map<String, String> then = vars(ops);
    assertEquals("1", then.get("app.handled.order.passed"));
    assertEquals("1", then.get("app.handled.strict.bad_gateway"));
    assertEquals("1", then.get("app.handled.lookup.dropped"));
    assertEquals("1", then.get("app.in_progress"));
    assertEquals("1", then.get("app.known_archive_servers"));
    assertEquals("0", then.get("app.skipped_archive_servers"));
    go.complete(null);
    assertEquals("200", status(FakePeer.read(client)));
    awaitFigure(ops, "app.in_progress", "0");
  }

  @Test
  void aServerOutByHandIsNotUsedUntilItIsCalledBack() throws Exception {
    FakePeer one = peer(m -> m.answer(FakePeer.ok("", "x")));
    FakePeer two = peer(m -> m.answer(FakePeer.ok("", "x")));
    EdgeNode node =
        startNode(
            config(
                member("s-0", one.address(), "Ready", 0), member("s-1", two.address(), "Ready", 0)),
            folder);
    OperatorServer ops = ops(node);
    assertEquals("ACK", word(ops, "set-down s-0"));
    assertEquals("ACK", word(ops, "set-down s-0"));
    awaitFigure(ops, "app.skipped_archive_servers", "1");
    Socket client = client(node);
    for (int i = 0; i < 20; i++) {
      assertEquals("200", exchangeOrder(client, "t-" + i));
    }
    assertTrue(one.received.isEmpty());
    // The next process of an upgrade takes it over; what one process is told the other follows.
    EdgeNode next =
        startNode(
            config(
                member("s-0", one.address(), "Ready", 0), member("s-1", two.address(), "Ready", 0)),
            folder);
    OperatorServer nextOps = ops(next);
    awaitFigure(nextOps, "app.skipped_archive_servers", "1");
    assertEquals("ACK", word(nextOps, "set-up s-0"));
    awaitFigure(ops, "app.skipped_archive_servers", "0");
    assertEquals("ACK", word(ops, "set-up s-0"));
    for (int i = 0; one.received.isEmpty(); i++) {
      assertFalse(Thread.interrupted(), "it is not used again");
      assertEquals("200", exchangeOrder(client, "u-" + i));
    }
  }

  @Test
  void aZoneOutByHandIsNotUsedUntilItIsCalledBack() throws Exception {
    FakePeer one = peer(m -> m.answer(FakePeer.ok("", "x")));
    FakePeer two = peer(m -> m.answer(FakePeer.ok("", "x")));
    String config =
        config(
            member("s-0", one.address(), "Ready", 0),
            member("s-1", two.address(), "Ready", 0)
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
      assertEquals("NAK", word(ops, line), line);
    }
    assertEquals(
        "a state=in share=1.00 servers=1 usable=1\nb state=in share=1.00 servers=1 usable=1\n--\n",
        call(ops, "zones\n"));
    assertEquals("ACK", word(ops, "zone-out a"));
    assertEquals("NAK no server of another zone could be sent to\n", call(ops, "zone-out b\n"));
    Socket client = client(node);
    for (int i = 0; i < 20; i++) {
      assertEquals("200", exchangeOrder(client, "t-" + i));
    }
    assertTrue(one.received.isEmpty());
    assertTrue(
        call(ops, "zones\n")
            .matches(
                "a state=out share=0.00 servers=1 usable=0 since_s=\\d+ why=hand\nb state=in (.*)\n--\n"),
        call(ops, "zones\n"));
    // The next process of an upgrade takes it over; what one process is told the other follows.
    EdgeNode next = startNode(config, folder);
    OperatorServer nextOps = ops(next);
    awaitFigure(nextOps, "app.skipped_archive_servers", "1");
    assertEquals("ACK", word(nextOps, "zone-in a 1"));
    awaitFigure(ops, "app.skipped_archive_servers", "0");
    assertTrue(call(ops, "zones\n").startsWith("a state=returning "), call(ops, "zones\n"));
    for (int i = 0; one.received.isEmpty(); i++) {
      assertFalse(Thread.interrupted(), "it is not used again");
      assertEquals("200", exchangeOrder(client, "u-" + i));
    }
  }

  @Test
  void aBrokenFileOfServersOutByHandIsPassedOver() throws Exception {
    Files.writeString(folder.resolve("left-out.json"), "{half");
    FakePeer one = peer(m -> m.answer(FakePeer.ok("", "x")));
    EdgeNode node = startNode(config(member("s-0", one.address(), "Ready", 0)), folder);
    assertEquals("200", exchangeOrder(client(node), "t-1"));
    assertEquals("ACK", word(ops(node), "set-down s-0"));
    assertEquals("[\"s-0\"]", Files.readString(folder.resolve("left-out.json")));
  }

  @Test
  void aDrainEndsConnectionsAndKeepsAnsweringHealth() throws Exception {
    CompletableFuture<Void> go = new CompletableFuture<>();
    FakePeer server =
        peer(
            m -> {
              if (m.headers().get("x-trace-id").equals("t-2")) {
                go.join();
              }
              m.answer(FakePeer.ok("", "x"));
            });
    EdgeNode node = startNode(server);
    OperatorServer ops = ops(node);
    node.admit();
    awaitTaking(ops);
    Socket used = client(node);
    assertEquals("200", exchangeOrder(used, "t-1"));
    server.next();
    sendOrder(used, "t-2");
    server.next();
    Socket idle = client(node);
    assertEquals("ACK", word(ops, "drain-on"));
    assertEquals("ACK", word(ops, "drain-on"));
    assertEquals("NAK", word(ops, "check"));
    go.complete(null);
    FakePeer.Message answer = FakePeer.read(used);
    assertEquals("200", status(answer));
    assertEquals("close", answer.headers().get("connection"));
    assertNull(FakePeer.read(idle), "an idle connection must end");
    Socket front = client(node);
    sendRequest(front, "GET /_health", Map.of(), "");
    assertEquals("503", status(FakePeer.read(front)));
    assertEquals("200", exchangeOrder(client(node), "t-3"));
    assertEquals("ACK", word(ops, "drain-off"));
    assertEquals("ACK", word(ops, "check"));
    Socket kept = client(node);
    for (String id : List.of("t-4", "t-5")) {
      sendOrder(kept, id);
      assertFalse(FakePeer.read(kept).headers().containsKey("connection"));
    }
    CompletableFuture<Void> stopped = node.stop();
    assertEquals("NAK", word(ops, "drain-off"));
    assertNull(FakePeer.read(kept));
    stopped.get(60, TimeUnit.SECONDS);
  }
}

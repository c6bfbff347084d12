package edgegateway.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.node.config.InvalidConfigException;
import edgegateway.node.config.NodeConfig;
import edgegateway.node.config.NodeConfigParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Clients' connections by TLS, on loopback sockets. */
@Timeout(120)
class TlsTest extends NodeTest {
  @TempDir static Path folder;
  private static TestCertificate certificate;
  private SSLContext client;

  @BeforeEach
  void trust() throws Exception {
    if (certificate == null) {
      certificate = new TestCertificate(folder);
    }
    client = certificate.trustingContext();
  }

  private EdgeNode secured(int handshakes, FakePeer server) throws Exception {
    return startNode(
        config(member("s-0", server.address(), "Ready", 0))
            .replace(
                "\"counter\"", "\"tls\":" + certificate.tlsSettings(handshakes) + ",\"counter\""));
  }

  private SSLSocket connect(EdgeNode node, String... protocols) throws IOException {
    InetSocketAddress at = node.address();
    SSLSocket socket =
        (SSLSocket) client.getSocketFactory().createSocket(at.getAddress(), at.getPort());
    toClose.add(socket);
    socket.setSoTimeout(60_000);
    if (protocols.length > 0) {
      socket.setEnabledProtocols(protocols);
    }
    return socket;
  }

  private static long figure(EdgeNode node, String name) {
    return Long.parseLong(
        node.metrics.render().replaceAll("(?s).*app.connections." + name + "=(\\d+).*", "$1"));
  }

  private static void await(EdgeNode node, String name, long value) throws InterruptedException {
    while (figure(node, name) != value) {
      Thread.sleep(5);
    }
  }

  @Test
  void requestsAreServedByBothVersionsAndEndWithANotice() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x".repeat(50_000))));
    EdgeNode node = secured(8, server);
    for (String version : List.of("TLSv1.2", "TLSv1.3")) {
      SSLSocket socket = connect(node, version);
      for (int i = 0; i < 3; i++) {
        assertEquals("200", exchangeOrder(socket, version + i));
      }
      assertEquals(version, socket.getSession().getProtocol());
      Map<String, String> last = headers(version, "order", "20000");
      last.put("Connection", "close");
      sendRequest(socket, "POST /api", last, "book");
      assertEquals("200", status(FakePeer.read(socket)));
      // Without the notice this read would throw.
      assertEquals(-1, socket.getInputStream().read());
    }
    await(node, "open", 0);
    assertEquals(0, figure(node, "handshaking"));
  }

  @Test
  void aSessionIsResumed() throws Exception {
    EdgeNode node = secured(8, peer(m -> m.answer(FakePeer.ok("", "x"))));
    for (String version : List.of("TLSv1.2", "TLSv1.3")) {
      client = certificate.trustingContext();
      SSLSocket first = connect(node, version);
      assertEquals("200", exchangeOrder(first, "first" + version));
      long made = first.getSession().getCreationTime();
      first.close();
      Thread.sleep(20);
      SSLSocket again = connect(node, version);
      assertEquals("200", exchangeOrder(again, "again" + version));
      assertEquals(made, again.getSession().getCreationTime(), version);
      client = certificate.trustingContext();
      SSLSocket stranger = connect(node, version);
      assertEquals("200", exchangeOrder(stranger, "stranger" + version));
      assertNotEquals(made, stranger.getSession().getCreationTime(), version);
    }
  }

  @Test
  void aLongResponseIsForwardedWhole() throws Exception {
    byte[] body = new byte[400_000];
    FakePeer server =
        peer(m -> m.answer(FakePeer.ok("", new String(body, StandardCharsets.US_ASCII))));
    SSLSocket socket = connect(secured(8, server));
    sendOrder(socket, "t-1");
    assertArrayEquals(body, FakePeer.read(socket).body().getBytes(StandardCharsets.US_ASCII));
  }

  /** A body of no length once ended with the notice, which is the end of a whole one. */
  @Test
  void aTruncatedResponseWithoutLengthEndsWithoutCloseNotify() throws Exception {
    FakePeer server =
        peer(m -> m.answer("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + "x".repeat(200_000)));
    EdgeNode node =
        startNode(
            config(member("s-0", server.address(), "Ready", 0))
                .replace("\"aim-ns\": 10000000000", "\"aim-ns\": 800000000")
                .replace("\"counter\"", "\"tls\":" + certificate.tlsSettings(8) + ",\"counter\""));
    for (String version : List.of("TLSv1.2", "TLSv1.3")) {
      SSLSocket socket = connect(node, version);
      StringBuilder text = new StringBuilder("GET /api HTTP/1.0\r\n");
      headers(version, "lookup", "1500")
          .forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
      socket.getOutputStream().write((text + "\r\n").getBytes(StandardCharsets.US_ASCII));
      assertEquals('H', socket.getInputStream().read());
      assertThrows(IOException.class, () -> socket.getInputStream().readAllBytes(), version);
    }
  }

  /**
   * What is no TLS, a record that is broken, a handshake that stalls: each costs that one
   * connection.
   */
  @Test
  void aFailedHandshakeCostsOneConnection() throws Exception {
    EdgeNode node = secured(2, peer(m -> m.answer(FakePeer.ok("", "x"))));
    SSLSocket well = connect(node);
    assertEquals("200", exchangeOrder(well, "t-1"));
    Socket plain = client(node);
    sendOrder(plain, "t-plain");
    drained(plain);
    Socket broken = client(node);
    broken.getOutputStream().write(new byte[] {22, 3, 1, 0, 5, 1, 0, 0, 1, 9});
    drained(broken);
    Socket reset = client(node);
    reset.getOutputStream().write(new byte[] {22, 3, 1, 2, 0, 1});
    reset.setSoLinger(true, 0);
    reset.close();
    long began = System.nanoTime();
    List<Socket> stalled = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      Socket socket = client(node);
      socket.getOutputStream().write(new byte[] {22, 3, 1, 2, 0, 1});
      stalled.add(socket);
    }
    assertEquals("200", exchangeOrder(well, "t-2"), "nobody else is held up");
    for (Socket socket : stalled) {
      drained(socket);
    }
    assertTrue(System.nanoTime() - began < 60_000_000_000L);
    assertEquals(20, figure(node, "timed_out.handshake"));
    assertEquals("200", exchangeOrder(connect(node), "t-3"));
    await(node, "open", 2);
  }

  /** Reads to the end, whichever that is. */
  private static void drained(Socket socket) throws IOException {
    try {
      socket.getInputStream().readAllBytes();
    } catch (IOException e) {
      assertFalse(e instanceof java.net.SocketTimeoutException, "it is left open");
    }
  }

  @Test
  void handshakesOverTheLimitAreQueued() throws Exception {
    EdgeNode node = secured(1, peer(m -> m.answer(FakePeer.ok("", "x"))));
    List<CompletableFuture<String>> all = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      String id = "t-" + i;
      SSLSocket socket = connect(node);
      all.add(
          CompletableFuture.supplyAsync(
              () -> {
                try {
                  return exchangeOrder(socket, id);
                } catch (IOException e) {
                  return e.toString();
                }
              }));
    }
    for (CompletableFuture<String> one : all) {
      assertEquals("200", one.get());
    }
  }

  @Test
  void aHalfClosedClientGetsItsResponse() throws Exception {
    CompletableFuture<Void> go = new CompletableFuture<>();
    FakePeer server =
        peer(
            m -> {
              go.join();
              m.answer(FakePeer.ok("", "x"));
            });
    EdgeNode node = secured(8, server);
    SSLSocket socket = connect(node, "TLSv1.3");
    sendOrder(socket, "t-1");
    socket.shutdownOutput();
    await(node, "half_closed", 1);
    go.complete(null);
    FakePeer.Message answer = FakePeer.read(socket);
    while (answer.first().contains(" 100 ")) {
      answer = FakePeer.read(socket);
    }
    assertEquals("x", answer.body());
    assertNull(FakePeer.read(socket));
  }

  @Test
  void unusableCertificatesAreNamed() throws Exception {
    Path broken = folder.resolve("broken.pem");
    Files.writeString(broken, "-----BEGIN CERTIFICATE-----\nnonsense\n-----END CERTIFICATE-----\n");
    for (String settings :
        List.of(
            "{\"certificate\":\"/nowhere\",\"key\":\"/nowhere\"}",
            "{\"certificate\":\"" + broken + "\",\"key\":\"" + broken + "\"}")) {
      NodeConfig config =
          NodeConfigParser.parse(
              config().replace("\"counter\"", "\"tls\":" + settings + ",\"counter\""));
      String said = assertThrows(IOException.class, () -> new EdgeNode(config, null)).getMessage();
      assertTrue(said.startsWith("tls.certificate or tls.key cannot be used"), said);
    }
    for (String settings :
        List.of(
            "{}",
            "{\"certificate\":\"a\"}",
            "{\"certificate\":\"a\",\"key\":\"b\",\"x\":1}",
            "{\"certificate\":\"a\",\"key\":\"b\",\"handshakes\":0}")) {
      String text = config().replace("\"counter\"", "\"tls\":" + settings + ",\"counter\"");
      assertThrows(InvalidConfigException.class, () -> NodeConfigParser.parse(text));
    }
  }
}

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

/** Tests TLS connections of clients on loopback sockets. */
@Timeout(120)
class TlsTest extends NodeTest {
  @TempDir static Path folder;
  private static TestCertificate certificate;
  private SSLContext clientContext;

  @BeforeEach
  void createClientContext() throws Exception {
    if (certificate == null) {
      certificate = new TestCertificate(folder);
    }
    clientContext = certificate.trustingContext();
  }

  private EdgeNode startTlsNode(int maxHandshakes, FakePeer server) throws Exception {
    return startNode(
        config(member("s-0", server.address(), "Ready", 0))
            .replace(
                "\"counter\"",
                "\"tls\":" + certificate.tlsSettings(maxHandshakes) + ",\"counter\""));
  }

  /** Connects a client; without protocols, the JDK's default ones are enabled. */
  private SSLSocket connectTls(EdgeNode node, String... protocols) throws IOException {
    InetSocketAddress address = node.address();
    SSLSocket socket =
        (SSLSocket)
            clientContext.getSocketFactory().createSocket(address.getAddress(), address.getPort());
    toClose.add(socket);
    socket.setSoTimeout(60_000);
    if (protocols.length > 0) {
      socket.setEnabledProtocols(protocols);
    }
    return socket;
  }

  @Test
  void requestsAreServedInBothTlsVersionsAndEndWithCloseNotify() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x".repeat(50_000))));
    EdgeNode node = startTlsNode(8, server);
    for (String version : List.of("TLSv1.2", "TLSv1.3")) {
      SSLSocket socket = connectTls(node, version);
      for (int i = 0; i < 3; i++) {
        assertEquals("200", exchangeOrder(socket, version + i));
      }
      assertEquals(version, socket.getSession().getProtocol());
      Map<String, String> last = headers(version, "order", "20000");
      last.put("Connection", "close");
      sendRequest(socket, "POST /api", last, "book");
      assertEquals("200", status(FakePeer.read(socket)));
      // Without close_notify this read would throw.
      assertEquals(-1, socket.getInputStream().read());
    }
    awaitMetric(node, "connections.open", 0);
    assertEquals(0, metric(node, "connections.handshaking"));
  }

  @Test
  void aSessionIsResumed() throws Exception {
    EdgeNode node = startTlsNode(8, peer(m -> m.answer(FakePeer.ok("", "x"))));
    for (String version : List.of("TLSv1.2", "TLSv1.3")) {
      clientContext = certificate.trustingContext();
      SSLSocket first = connectTls(node, version);
      assertEquals("200", exchangeOrder(first, "first" + version));
      long sessionCreatedAtMillis = first.getSession().getCreationTime();
      first.close();
      Thread.sleep(20);
      SSLSocket resumed = connectTls(node, version);
      assertEquals("200", exchangeOrder(resumed, "resumed" + version));
      assertEquals(sessionCreatedAtMillis, resumed.getSession().getCreationTime(), version);
      clientContext = certificate.trustingContext();
      SSLSocket other = connectTls(node, version);
      assertEquals("200", exchangeOrder(other, "other" + version));
      assertNotEquals(sessionCreatedAtMillis, other.getSession().getCreationTime(), version);
    }
  }

  @Test
  void aLongResponseIsForwardedCompletely() throws Exception {
    byte[] body = new byte[400_000];
    FakePeer server =
        peer(m -> m.answer(FakePeer.ok("", new String(body, StandardCharsets.US_ASCII))));
    SSLSocket socket = connectTls(startTlsNode(8, server));
    sendOrder(socket, "t-1");
    assertArrayEquals(body, FakePeer.read(socket).body().getBytes(StandardCharsets.US_ASCII));
  }

  /**
   * Guards against ending a truncated body without a length with close_notify, by which the client
   * takes the body for complete.
   */
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
      SSLSocket socket = connectTls(node, version);
      StringBuilder text = new StringBuilder("GET /api HTTP/1.0\r\n");
      headers(version, "lookup", "1500")
          .forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
      socket.getOutputStream().write((text + "\r\n").getBytes(StandardCharsets.US_ASCII));
      assertEquals('H', socket.getInputStream().read());
      assertThrows(IOException.class, () -> socket.getInputStream().readAllBytes(), version);
    }
  }

  /**
   * Bytes that aren't TLS, a malformed record and a handshake that stalls each close only the
   * connection on which they arrive.
   */
  @Test
  void aFailedHandshakeClosesOnlyItsOwnConnection() throws Exception {
    EdgeNode node = startTlsNode(2, peer(m -> m.answer(FakePeer.ok("", "x"))));
    SSLSocket healthy = connectTls(node);
    assertEquals("200", exchangeOrder(healthy, "t-1"));
    Socket plain = client(node);
    sendOrder(plain, "t-plain");
    readUntilClosed(plain);
    Socket malformed = client(node);
    malformed.getOutputStream().write(new byte[] {22, 3, 1, 0, 5, 1, 0, 0, 1, 9});
    readUntilClosed(malformed);
    Socket reset = client(node);
    reset.getOutputStream().write(new byte[] {22, 3, 1, 2, 0, 1});
    reset.setSoLinger(true, 0);
    reset.close();
    long startedAtNanos = System.nanoTime();
    List<Socket> stalled = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      Socket socket = client(node);
      socket.getOutputStream().write(new byte[] {22, 3, 1, 2, 0, 1});
      stalled.add(socket);
    }
    assertEquals(
        "200",
        exchangeOrder(healthy, "t-2"),
        "stalled handshakes must not delay other connections");
    for (Socket socket : stalled) {
      readUntilClosed(socket);
    }
    assertTrue(System.nanoTime() - startedAtNanos < 60_000_000_000L);
    assertEquals(20, metric(node, "connections.timed_out.handshake"));
    assertEquals("200", exchangeOrder(connectTls(node), "t-3"));
    awaitMetric(node, "connections.open", 2);
  }

  /** Reads until the connection is closed or reset by the node. */
  private static void readUntilClosed(Socket socket) throws IOException {
    try {
      socket.getInputStream().readAllBytes();
    } catch (IOException e) {
      assertFalse(
          e instanceof java.net.SocketTimeoutException, "the node left the connection open");
    }
  }

  @Test
  void handshakesOverTheLimitAreQueued() throws Exception {
    EdgeNode node = startTlsNode(1, peer(m -> m.answer(FakePeer.ok("", "x"))));
    List<CompletableFuture<String>> statuses = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      String id = "t-" + i;
      SSLSocket socket = connectTls(node);
      statuses.add(
          CompletableFuture.supplyAsync(
              () -> {
                try {
                  return exchangeOrder(socket, id);
                } catch (IOException e) {
                  return e.toString();
                }
              }));
    }
    for (CompletableFuture<String> status : statuses) {
      assertEquals("200", status.get());
    }
  }

  @Test
  void aHalfClosedClientGetsItsResponse() throws Exception {
    CompletableFuture<Void> mayRespond = new CompletableFuture<>();
    FakePeer server = peerAnsweringAfter(mayRespond, "x");
    EdgeNode node = startTlsNode(8, server);
    SSLSocket socket = connectTls(node, "TLSv1.3");
    sendOrder(socket, "t-1");
    socket.shutdownOutput();
    awaitMetric(node, "connections.half_closed", 1);
    mayRespond.complete(null);
    FakePeer.Message response = FakePeer.read(socket);
    while (response.startLine().contains(" 100 ")) {
      response = FakePeer.read(socket);
    }
    assertEquals("x", response.body());
    assertNull(FakePeer.read(socket));
  }

  @Test
  void errorsForUnusableCertificatesNameTheSettings() throws Exception {
    Path invalidFile = folder.resolve("broken.pem");
    Files.writeString(
        invalidFile, "-----BEGIN CERTIFICATE-----\nnonsense\n-----END CERTIFICATE-----\n");
    for (String settings :
        List.of(
            "{\"certificate\":\"/nowhere\",\"key\":\"/nowhere\"}",
            "{\"certificate\":\"" + invalidFile + "\",\"key\":\"" + invalidFile + "\"}")) {
      NodeConfig config =
          NodeConfigParser.parse(
              config().replace("\"counter\"", "\"tls\":" + settings + ",\"counter\""));
      String message =
          assertThrows(IOException.class, () -> new EdgeNode(config, null)).getMessage();
      assertTrue(message.startsWith("tls.certificate or tls.key cannot be used"), message);
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

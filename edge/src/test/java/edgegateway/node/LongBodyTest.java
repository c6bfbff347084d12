package edgegateway.node;

import static edgegateway.node.SlowResponse.decodeChunked;
import static edgegateway.node.SlowResponse.writeText;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.node.SlowResponse.Framing;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests request and response bodies that are too long to be buffered, in each framing of HTTP/1.1.
 */
@Timeout(60)
class LongBodyTest extends NodeTest {
  private static final byte[] BODY = new byte[3_000_000];
  private static final int CHUNK_BYTES = 50_001;

  /** A sound server pauses no longer within a response. */
  private static final int MAX_PAUSE_MILLIS = 3_000;

  private static final int GRACE_MILLIS = 500;

  static {
    new Random(5).nextBytes(BODY);
  }

  /**
   * Handles an accepted connection. Unlike a {@link FakePeer.Script}, it reads the requests itself,
   * and may read only a part of one.
   */
  private interface ConnectionScript {
    void run(Socket socket) throws IOException, InterruptedException;
  }

  /** Starts a server that handles one connection after the other, and returns its address. */
  private String startServer(ConnectionScript script) throws IOException {
    ServerSocket serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    toClose.add(serverSocket);
    Thread thread =
        new Thread(
            () -> {
              try {
                while (true) {
                  Socket socket = serverSocket.accept();
                  toClose.add(socket);
                  script.run(socket);
                }
              } catch (IOException | InterruptedException e) {
                // The test has ended and closed the sockets.
              }
            });
    thread.setDaemon(true);
    thread.start();
    return "127.0.0.1:" + serverSocket.getLocalPort();
  }

  private static byte[] encodeChunked(byte[] body) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (int offset = 0; offset < body.length; offset += CHUNK_BYTES) {
      int length = Math.min(CHUNK_BYTES, body.length - offset);
      writeText(out, Integer.toHexString(length) + "\r\n");
      out.write(body, offset, length);
      writeText(out, "\r\n");
    }
    writeText(out, "0\r\nX-Sum: 1\r\n\r\n");
    return out.toByteArray();
  }

  private static String lookupRequest(String id, String version) {
    StringBuilder text = new StringBuilder("GET /api ").append(version).append("\r\n");
    headers(id, "lookup", "20000")
        .forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
    return text.append("\r\n").toString();
  }

  private static String orderRequest(String id, String furtherHeaders) {
    StringBuilder text = new StringBuilder("POST /api HTTP/1.1\r\n");
    headers(id, "order", "20000")
        .forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
    return text.append(furtherHeaders).append("\r\n\r\n").toString();
  }

  @Test
  void aLongResponseIsForwardedCompletelyInEachFraming() throws Exception {
    byte[] chunked = encodeChunked(BODY);
    for (String framing :
        new String[] {
          "Content-Length: " + BODY.length, "Transfer-Encoding: chunked", "Connection: close"
        }) {
      String address =
          startServer(
              socket -> {
                while (readHead(socket.getInputStream()) != null) {
                  writeText(socket.getOutputStream(), "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
                  socket.getOutputStream().write(framing.startsWith("T") ? chunked : BODY);
                  if (framing.startsWith("Connection")) {
                    socket.close();
                    return;
                  }
                }
              });
      EdgeNode node = startNode(config(member("s-0", address, "Ready", 0)));
      Socket client = client(node);
      writeText(client.getOutputStream(), lookupRequest("t-1", "HTTP/1.1"));
      String head = readHead(client.getInputStream());
      assertTrue(head.startsWith("HTTP/1.1 200"), head);
      byte[] body =
          head.contains("chunked")
              ? decodeChunked(client.getInputStream())
              : client.getInputStream().readNBytes(BODY.length);
      assertArrayEquals(BODY, body, framing);
      // The connection stays usable; an HTTP/1.0 client gets a body that ends with the connection.
      writeText(client.getOutputStream(), lookupRequest("t-2", "HTTP/1.0"));
      head = readHead(client.getInputStream());
      assertTrue(!head.contains("chunked"), head);
      assertArrayEquals(BODY, client.getInputStream().readAllBytes(), framing);
    }
  }

  /**
   * A faulty response may announce a longer body than the server sends. The client must get a
   * complete error response before its deadline, and no part of the faulty one.
   */
  @Test
  void aResponseShorterThanItsLengthIsNotForwarded() throws Exception {
    String address =
        startServer(
            socket -> {
              readHead(socket.getInputStream());
              writeText(
                  socket.getOutputStream(),
                  "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\nabc");
              socket.getInputStream().read();
            });
    EdgeNode node = startNode(config(member("s-0", address, "Ready", 0)));
    Socket client = client(node);
    client.setSoTimeout(5_500);
    sendRequest(client, "POST /api?slot=4", headers("t-1", "order", "5000"), "book");
    String head = readHead(client.getInputStream());
    assertTrue(head.startsWith("HTTP/1.1 5"), head);
  }

  @Test
  void aLongResponseCutOffByTheServerEndsTheClientConnectionEarly() throws Exception {
    String address =
        startServer(
            socket -> {
              readHead(socket.getInputStream());
              writeText(
                  socket.getOutputStream(),
                  "HTTP/1.1 200 OK\r\nContent-Length: " + BODY.length + "\r\n\r\n");
              socket.getOutputStream().write(BODY, 0, BODY.length / 2);
              socket.close();
            });
    EdgeNode node = startNode(config(member("s-0", address, "Ready", 0)));
    Socket client = client(node);
    writeText(client.getOutputStream(), lookupRequest("t-1", "HTTP/1.1"));
    assertTrue(readHead(client.getInputStream()).contains("200"));
    assertTrue(client.getInputStream().readAllBytes().length < BODY.length);
    while (!node.metrics.render().contains("app.handled.lookup.bad_gateway=1")) {
      assertTrue(!Thread.interrupted(), node.metrics.render());
    }
    assertTrue(node.metrics.render().contains("app.in_progress=0"));
  }

  /**
   * A response that stays incomplete.
   *
   * @param framing name of the header that frames the body, or {@code Connection: close}
   * @param endless whether the server keeps sending rather than stops
   * @param version HTTP version of the client's request
   */
  private record IncompleteResponse(String framing, boolean endless, String version) {
    /**
     * A server that goes on sending is cut off only when no sound response is that long, and one
     * that stopped only when no sound one pauses that long.
     */
    String expectedResult() {
      if (framing.equals("Content-Length")) {
        return "truncated in time";
      }
      return endless ? "truncated after 32 MB" : "truncated after the pause";
    }

    String path() {
      return "/api?"
          + (framing.startsWith("T")
              ? "chunked"
              : framing.startsWith("C") && !framing.contains("close") ? "length" : "close")
          + (endless ? "-endless" : "-stops");
    }
  }

  /**
   * A configuration with a short latency objective, so that a request with little time to its
   * deadline isn't rejected.
   */
  private String configWithShortLatencyObjective(String... members) throws IOException {
    return config(members).replace("\"aim-ns\": 10000000000", "\"aim-ns\": 800000000");
  }

  /**
   * Guards against leaving a client without the end or a reset of its response, for 8 s or for
   * ever, when the server stops after the part that the node buffers or sends without end.
   */
  @Test
  void aResponseIncompleteAtItsDeadlineIsResetSoThatTheClientCanTell() throws Exception {
    byte[] piece = new byte[20_000];
    FakePeer server =
        peer(
            m -> {
              OutputStream out = m.socket().getOutputStream();
              if (m.startLine().contains("complete")) {
                // More than the buffers of the kernel and the node hold.
                writeText(
                    out, "HTTP/1.1 200 OK\r\nContent-Length: " + 11 * BODY.length + "\r\n\r\n");
                for (int i = 0; i < 11; i++) {
                  out.write(BODY);
                }
                return;
              }
              boolean chunked = m.startLine().contains("chunked");
              writeText(
                  out,
                  "HTTP/1.1 200 OK\r\n"
                      + (chunked
                          ? "Transfer-Encoding: chunked"
                          : m.startLine().contains("length")
                              ? "Content-Length: 2000000000"
                              : "Connection: close")
                      + "\r\n\r\n");
              // "Endless" is 60 MB, more than any sound response.
              for (int i = 0; i < (m.startLine().contains("endless") ? 3_000 : 5); i++) {
                writeText(out, chunked ? Integer.toHexString(piece.length) + "\r\n" : "");
                out.write(piece);
                writeText(out, chunked ? "\r\n" : "");
                Thread.sleep(1);
              }
              m.socket().getInputStream().read();
            });
    EdgeNode node =
        startNode(configWithShortLatencyObjective(member("s-0", server.address(), "Ready", 0)));
    Socket slow = client(node);
    slow.setReceiveBufferSize(64 << 10);
    writeText(
        slow.getOutputStream(),
        lookupRequest("t-slow", "HTTP/1.1").replace("/api", "/api?complete"));
    assertTrue(readHead(slow.getInputStream()).contains("200"));
    assertArrayEquals(BODY, slow.getInputStream().readNBytes(BODY.length));
    List<CompletableFuture<String>> results = new ArrayList<>();
    List<IncompleteResponse> responses = new ArrayList<>();
    for (String framing :
        new String[] {"Content-Length", "Transfer-Encoding", "Connection: close"}) {
      for (String version : new String[] {"HTTP/1.1", "HTTP/1.0"}) {
        responses.add(new IncompleteResponse(framing, false, version));
        responses.add(new IncompleteResponse(framing, true, version));
      }
    }
    for (IncompleteResponse response : responses) {
      Socket client = client(node);
      client.setSoTimeout(MAX_PAUSE_MILLIS + GRACE_MILLIS);
      String id = "t-" + responses.indexOf(response);
      results.add(
          CompletableFuture.supplyAsync(
              () ->
                  readUntilEnd(
                      client,
                      lookupRequest(id, response.version())
                          .replace("/api", response.path())
                          .replace("20000", "1500")
                          .replace(
                              "customer=0000000000000007",
                              "customer=" + "%016x".formatted(id.hashCode() & 0xffff))),
              task -> new Thread(task).start()));
    }
    for (IncompleteResponse response : responses) {
      assertEquals(
          response.expectedResult(),
          results.get(responses.indexOf(response)).get(),
          response.toString());
    }
    // Before its deadline a response is continued, however slowly the client reads it.
    for (int i = 1; i < 11; i++) {
      assertArrayEquals(BODY, slow.getInputStream().readNBytes(BODY.length), "part " + i);
    }
    while (!node.metrics.render().contains("app.in_progress=0\n")
        || !node.metrics.render().contains("app.connections.archive_servers.open=1\n")) {
      assertTrue(!Thread.interrupted(), node.metrics.render());
    }
    assertTrue(
        node.metrics.render().contains("app.handled.lookup.bad_gateway=12\n"),
        node.metrics.render());
  }

  /**
   * Sends a request with a deadline of 1.5 s and reads its response until the connection ends.
   *
   * @return {@code truncated in time} if the client could tell that the response is incomplete, and
   *     the connection ended 1.45 s to 2 s after the request; {@code truncated after 32 MB} if it
   *     ended later, after so much; {@code truncated after the pause} if it ended when the server
   *     had stopped for as long as a sound one may pause; otherwise what happened
   */
  private static String readUntilEnd(Socket client, String request) {
    long startedAtNanos = System.nanoTime();
    StringBuilder received = new StringBuilder();
    boolean reset = false;
    try {
      writeText(client.getOutputStream(), request);
      byte[] buffer = new byte[65_536];
      for (int n = client.getInputStream().read(buffer);
          n >= 0;
          n = client.getInputStream().read(buffer)) {
        received.append(new String(buffer, 0, n, StandardCharsets.ISO_8859_1));
      }
    } catch (SocketTimeoutException e) {
      return "neither an end nor a reset after the pause, " + received.length() + " bytes";
    } catch (IOException e) {
      reset = true;
    }
    long elapsedMillis = (System.nanoTime() - startedAtNanos) / 1_000_000;
    boolean started = received.indexOf("HTTP/1.1 200") == 0 && received.length() > 64 << 10;
    boolean truncationDetectable =
        reset
            || received.indexOf("Content-Length") > 0
            || received.indexOf("chunked") > 0
                && received.lastIndexOf("0\r\n\r\n") != received.length() - 5;
    boolean longerThanAnySound = received.length() > 32 << 20;
    if (started && truncationDetectable && elapsedMillis >= 1_450 && longerThanAnySound) {
      return "truncated after 32 MB";
    }
    if (started
        && truncationDetectable
        && elapsedMillis >= MAX_PAUSE_MILLIS
        && elapsedMillis < MAX_PAUSE_MILLIS + GRACE_MILLIS) {
      return "truncated after the pause";
    }
    return started && truncationDetectable && elapsedMillis >= 1_450 && elapsedMillis < 2_000
        ? "truncated in time"
        : (started ? "started" : "not started")
            + (truncationDetectable ? ", detectable as truncated" : ", taken for complete")
            + " after "
            + elapsedMillis
            + " ms";
  }

  /**
   * The node has the complete long response, and the client has not read it at its deadline: only
   * the first bytes of a long response are timed, so it is not cut off.
   */
  @Test
  void aCompleteLongResponseUnreadAtItsDeadlineIsNotCutOff() throws Exception {
    for (boolean anotherQueued : new boolean[] {false, true}) {
      EdgeNode node =
          startNode(configWithShortLatencyObjective(member("s-0", "127.0.0.1:1", "Ready", 0)));
      EmbeddedChannel client =
          node.loop
              .submit(
                  () -> {
                    EmbeddedChannel server = new EmbeddedChannel(node.upstreamPool.handlers());
                    node.upstreamPool.adopt("s-0", server);
                    EmbeddedChannel clientChannel = new EmbeddedChannel(node.clients.newHandlers());
                    clientChannel
                        .pipeline()
                        .addFirst(
                            new ChannelOutboundHandlerAdapter() {
                              @Override
                              public void write(
                                  ChannelHandlerContext context,
                                  Object message,
                                  ChannelPromise promise) {
                                // Never completes the write, as if the socket's send buffer were
                                // full.
                                ReferenceCountUtil.release(message);
                              }
                            });
                    clientChannel.writeInbound(
                        Unpooled.copiedBuffer(
                            lookupRequest("t-1", "HTTP/1.1").replace("20000", "300"),
                            StandardCharsets.US_ASCII));
                    server.releaseOutbound();
                    server.writeInbound(
                        Unpooled.copiedBuffer(
                            "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n",
                            StandardCharsets.US_ASCII),
                        Unpooled.wrappedBuffer(BODY, 0, 70_000),
                        Unpooled.wrappedBuffer(BODY, 70_000, 30_000));
                    if (anotherQueued) {
                      clientChannel.writeInbound(
                          Unpooled.copiedBuffer(
                              lookupRequest("t-2", "HTTP/1.1"), StandardCharsets.US_ASCII));
                    }
                    return clientChannel;
                  })
              .get();
      assertTrue(client.isActive());
      long startedAtNanos = System.nanoTime();
      while (node.loop.submit(client::isActive).get()
          && System.nanoTime() - startedAtNanos < 1_000_000_000L) {
        Thread.onSpinWait();
      }
      assertTrue(client.isActive(), "with another request queued: " + anotherQueued);
    }
  }

  /** A response and how long its client waits for it. */
  private record TimedResponse(SlowResponse response, int waitMillis) {}

  @Test
  void aLongResponseThatTheServerStillSendsAtItsDeadlineIsNotCutOff() throws Exception {
    List<TimedResponse> responses =
        List.of(
            new TimedResponse(new SlowResponse(Framing.LENGTH, 137_265, 1_000, 10, 10), 760),
            new TimedResponse(new SlowResponse(Framing.CLOSE, 220_220, 1_000, 10, 10), 854),
            new TimedResponse(new SlowResponse(Framing.CLOSE, 181_953, 37_483, 375, 375), 760),
            new TimedResponse(new SlowResponse(Framing.CHUNKED, 243_028, 121_514, 450, 450), 560),
            new TimedResponse(new SlowResponse(Framing.CHUNKED, 2_818_148, 50_000, 20, 20), 570));
    FakePeer server = peer(m -> SlowResponse.requestedBy(m.startLine()).send(m.socket()));
    EdgeNode node = startNode(configWithShortLatencyObjective(asManyMembers(server)));
    for (TimedResponse timed : responses) {
      SlowResponse response = timed.response();
      Socket client = client(node);
      Map<String, String> headers =
          headers("t-" + responses.indexOf(timed), "lookup", Integer.toString(timed.waitMillis()));
      sendRequest(client, "GET " + response.path(), headers, "");
      String head = readHead(client.getInputStream());
      assertTrue(head.startsWith("HTTP/1.1 200"), response + ": " + head);
      assertArrayEquals(
          response.body(), response.readBody(head, client.getInputStream()), response.toString());
    }
  }

  /** The response to a client that reads slowly must not be buffered completely in memory. */
  @Test
  void aSlowClientAppliesBackpressureToTheServer() throws Exception {
    CompletableFuture<Integer> firstPart = new CompletableFuture<>();
    String address =
        startServer(
            socket -> {
              readHead(socket.getInputStream());
              writeText(
                  socket.getOutputStream(), "HTTP/1.1 200 OK\r\nContent-Length: 33000000\r\n\r\n");
              for (int i = 0; i < 11; i++) {
                socket.getOutputStream().write(BODY);
                firstPart.complete(i);
              }
            });
    EdgeNode node = startNode(config(member("s-0", address, "Ready", 0)));
    Socket client = client(node);
    client.setReceiveBufferSize(64 << 10);
    writeText(client.getOutputStream(), lookupRequest("t-1", "HTTP/1.1"));
    readHead(client.getInputStream());
    long bytesBefore = PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory();
    for (int i = 0; i < 11; i++) {
      assertArrayEquals(BODY, client.getInputStream().readNBytes(BODY.length), "part " + i);
      long bytesNow = PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory();
      assertTrue(
          bytesNow - bytesBefore < 12 << 20,
          "growth of buffer memory in bytes: " + (bytesNow - bytesBefore));
    }
  }

  @Test
  void aLongRequestIsForwardedCompletelyInEachFraming() throws Exception {
    BlockingQueue<byte[]> receivedBodies = new LinkedBlockingQueue<>();
    String address =
        startServer(
            socket -> {
              for (String head = readHead(socket.getInputStream());
                  head != null;
                  head = readHead(socket.getInputStream())) {
                receivedBodies.add(
                    head.contains("chunked")
                        ? decodeChunked(socket.getInputStream())
                        : socket
                            .getInputStream()
                            .readNBytes(
                                Integer.parseInt(
                                    head.replaceAll("(?is).*content-length: (\\d+).*", "$1"))));
                writeText(socket.getOutputStream(), FakePeer.ok("", "done"));
              }
            });
    EdgeNode node = startNode(config(member("s-0", address, "Ready", 0)));
    Socket client = client(node);
    writeText(
        client.getOutputStream(),
        orderRequest("t-1", "Expect: 100-continue\r\nContent-Length: " + BODY.length));
    assertTrue(readHead(client.getInputStream()).startsWith("HTTP/1.1 100"));
    client.getOutputStream().write(BODY);
    assertEquals("done", FakePeer.read(client).body());
    assertArrayEquals(BODY, receivedBodies.poll(30, TimeUnit.SECONDS));
    writeText(client.getOutputStream(), orderRequest("t-2", "Transfer-Encoding: chunked"));
    client.getOutputStream().write(encodeChunked(BODY));
    // The next request follows on the same connection without waiting for the response.
    sendOrder(client, "t-3");
    assertEquals("done", FakePeer.read(client).body());
    assertArrayEquals(BODY, receivedBodies.poll(30, TimeUnit.SECONDS));
    assertEquals("done", FakePeer.read(client).body());
    assertEquals(
        "book", new String(receivedBodies.poll(30, TimeUnit.SECONDS), StandardCharsets.UTF_8));
  }

  /**
   * The node no longer holds the first part of a long request that it forwards, so another server
   * would get an incomplete one.
   */
  @Test
  void aForwardedLongRequestIsNotRetried() throws Exception {
    BlockingQueue<String> heads = new LinkedBlockingQueue<>();
    ConnectionScript closeMidBody =
        socket -> {
          heads.add(readHead(socket.getInputStream()));
          socket.getInputStream().readNBytes(BODY.length / 2);
          socket.close();
        };
    EdgeNode node =
        startNode(
            config(
                member("s-0", startServer(closeMidBody), "Ready", 0),
                member("s-1", startServer(closeMidBody), "Ready", 0)));
    Socket client = client(node);
    writeText(client.getOutputStream(), orderRequest("t-1", "Content-Length: " + BODY.length));
    CompletableFuture.runAsync(
        () -> {
          try {
            client.getOutputStream().write(BODY);
          } catch (IOException e) {
            // The connection may end before the complete body is written.
          }
        });
    String head = readHead(client.getInputStream());
    // Whether the connection then ends depends on how much of the body the kernel had accepted.
    assertTrue(head.startsWith("HTTP/1.1 50"), head);
    assertEquals(1, heads.size());
  }

  /** When a client disconnects during a body, the server must not wait for the rest. */
  @Test
  void aDisconnectingClientEndsItsUploadOrDownload() throws Exception {
    BlockingQueue<String> ends = new LinkedBlockingQueue<>();
    String address =
        startServer(
            socket -> {
              InputStream in = socket.getInputStream();
              if (readHead(in).startsWith("POST")) {
                int receivedBytes = in.readAllBytes().length;
                ends.add(receivedBytes < BODY.length ? "incomplete" : "complete");
                return;
              }
              writeText(
                  socket.getOutputStream(), "HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n");
              try {
                for (int i = 0; i < 10; i++) {
                  socket.getOutputStream().write(BODY);
                }
              } catch (IOException e) {
                ends.add("write failed");
              }
            });
    EdgeNode node = startNode(config(member("s-0", address, "Ready", 0)));
    Socket uploading = client(node);
    writeText(uploading.getOutputStream(), orderRequest("t-1", "Content-Length: " + BODY.length));
    uploading.getOutputStream().write(BODY, 0, 1_000_000);
    uploading.close();
    assertEquals("incomplete", ends.poll(30, TimeUnit.SECONDS));
    Socket downloading = client(node);
    writeText(downloading.getOutputStream(), lookupRequest("t-2", "HTTP/1.1"));
    readHead(downloading.getInputStream());
    downloading.close();
    assertEquals("write failed", ends.poll(30, TimeUnit.SECONDS));
    while (!node.metrics.render().contains("app.in_progress=0")) {
      assertTrue(!Thread.interrupted(), node.metrics.render());
    }
  }

  @Test
  void aHeadRequestGetsNoBodyAndAnUnknownExpectationGets417() throws Exception {
    EdgeNode node = startNode(peer(m -> m.answer(FakePeer.ok("", "x"))));
    Socket client = client(node);
    writeText(
        client.getOutputStream(), "HEAD /_health HTTP/1.1\r\n\r\nGET /nowhere HTTP/1.1\r\n\r\n");
    assertTrue(readHead(client.getInputStream()).startsWith("HTTP/1.1 405"));
    assertTrue(readHead(client.getInputStream()).startsWith("HTTP/1.1 404"));
    Socket other = client(node);
    writeText(
        other.getOutputStream(), orderRequest("t-1", "Expect: a-miracle\r\nContent-Length: 4"));
    assertEquals("417", status(FakePeer.read(other)));
    assertNull(FakePeer.read(other));
  }

  /**
   * Guards against a connection that occupies its slot for ever when the client stops halfway
   * through its second request.
   */
  @Test
  void aClientThatStallsInALaterRequestIsTimedOut() throws Exception {
    EdgeNode node = startNode(peer(m -> m.answer(FakePeer.ok("", "x"))));
    for (String incomplete :
        new String[] {"GET /api HT", "POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nha"}) {
      Socket client = client(node);
      assertEquals("200", exchangeOrder(client, "t-" + incomplete.length()));
      writeText(client.getOutputStream(), incomplete);
      assertNull(FakePeer.read(client), incomplete);
    }
  }
}

package edgegateway.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Bodies that are longer than what is held, in the forms of HTTP/1.1. */
@Timeout(60)
class LongBodyTest extends NodeTest {
  private static final byte[] BODY = new byte[3_000_000];

  static {
    new Random(5).nextBytes(BODY);
  }

  /** What a server did not read of a connection it reads itself. */
  private interface Script {
    void on(Socket socket) throws IOException, InterruptedException;
  }

  private String server(Script script) throws IOException {
    ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    toClose.add(listening);
    Thread thread =
        new Thread(
            () -> {
              try {
                while (true) {
                  Socket socket = listening.accept();
                  toClose.add(socket);
                  script.on(socket);
                }
              } catch (IOException | InterruptedException e) {
                // The test is over.
              }
            });
    thread.setDaemon(true);
    thread.start();
    return "127.0.0.1:" + listening.getLocalPort();
  }

  private static String head(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int b = in.read();
      if (b < 0) {
        return null;
      }
      head.append((char) b);
    }
    return head.toString();
  }

  private static void say(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static byte[] chunked(byte[] body) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (int at = 0; at < body.length; at += 50_001) {
      int length = Math.min(50_001, body.length - at);
      say(out, Integer.toHexString(length) + "\r\n");
      out.write(body, at, length);
      say(out, "\r\n");
    }
    say(out, "0\r\nX-Sum: 1\r\n\r\n");
    return out.toByteArray();
  }

  private static byte[] unchunk(InputStream in) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    while (true) {
      StringBuilder size = new StringBuilder();
      for (int b = in.read(); b != '\n'; b = in.read()) {
        size.append((char) b);
      }
      int length = Integer.parseInt(size.toString().trim(), 16);
      out.write(in.readNBytes(length));
      in.readNBytes(2);
      if (length == 0) {
        return out.toByteArray();
      }
    }
  }

  private static String lookup(String id, String version) {
    StringBuilder text = new StringBuilder("GET /api ").append(version).append("\r\n");
    headers(id, "lookup", "20000")
        .forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
    return text.append("\r\n").toString();
  }

  private static String orderRequest(String id, String more) {
    StringBuilder text = new StringBuilder("POST /api HTTP/1.1\r\n");
    headers(id, "order", "20000")
        .forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
    return text.append(more).append("\r\n\r\n").toString();
  }

  @Test
  void aLongResponseIsForwardedWholeInEachFraming() throws Exception {
    byte[] chunked = chunked(BODY);
    for (String form :
        new String[] {
          "Content-Length: " + BODY.length, "Transfer-Encoding: chunked", "Connection: close"
        }) {
      String at =
          server(
              socket -> {
                while (head(socket.getInputStream()) != null) {
                  say(socket.getOutputStream(), "HTTP/1.1 200 OK\r\n" + form + "\r\n\r\n");
                  socket.getOutputStream().write(form.startsWith("T") ? chunked : BODY);
                  if (form.startsWith("Connection")) {
                    socket.close();
                    return;
                  }
                }
              });
      EdgeNode node = startNode(config(member("s-0", at, "Ready", 0)));
      Socket client = client(node);
      say(client.getOutputStream(), lookup("t-1", "HTTP/1.1"));
      String head = head(client.getInputStream());
      assertTrue(head.startsWith("HTTP/1.1 200"), head);
      byte[] body =
          head.contains("chunked")
              ? unchunk(client.getInputStream())
              : client.getInputStream().readNBytes(BODY.length);
      assertArrayEquals(BODY, body, form);
      // The connection goes on; an older client gets it until the close.
      say(client.getOutputStream(), lookup("t-2", "HTTP/1.0"));
      head = head(client.getInputStream());
      assertTrue(!head.contains("chunked"), head);
      assertArrayEquals(BODY, client.getInputStream().readAllBytes(), form);
    }
  }

  /**
   * A spoilt answer may promise what never comes: its client has a final answer in its time, and no
   * part of it.
   */
  @Test
  void aResponseShorterThanItsLengthIsNotForwarded() throws Exception {
    String at =
        server(
            socket -> {
              head(socket.getInputStream());
              say(
                  socket.getOutputStream(),
                  "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\nabc");
              socket.getInputStream().read();
            });
    EdgeNode node = startNode(config(member("s-0", at, "Ready", 0)));
    Socket client = client(node);
    client.setSoTimeout(5_500);
    sendRequest(client, "POST /api?slot=4", headers("t-1", "order", "5000"), "book");
    String head = head(client.getInputStream());
    assertTrue(head.startsWith("HTTP/1.1 5"), head);
  }

  @Test
  void aLongAnswerThatBreaksEndsTheConnectionShort() throws Exception {
    String at =
        server(
            socket -> {
              head(socket.getInputStream());
              say(
                  socket.getOutputStream(),
                  "HTTP/1.1 200 OK\r\nContent-Length: " + BODY.length + "\r\n\r\n");
              socket.getOutputStream().write(BODY, 0, BODY.length / 2);
              socket.close();
            });
    EdgeNode node = startNode(config(member("s-0", at, "Ready", 0)));
    Socket client = client(node);
    say(client.getOutputStream(), lookup("t-1", "HTTP/1.1"));
    assertTrue(head(client.getInputStream()).contains("200"));
    assertTrue(client.getInputStream().readAllBytes().length < BODY.length);
    while (!node.metrics.render().contains("app.handled.lookup.bad_gateway=1")) {
      assertTrue(!Thread.interrupted(), node.metrics.render());
    }
    assertTrue(node.metrics.render().contains("app.in_progress=0"));
  }

  /** What an answer is begun as, and how its client's request is written. */
  private record Form(String framing, boolean endless, String version) {
    String path() {
      return "/api?"
          + (framing.startsWith("T")
              ? "chunked"
              : framing.startsWith("C") && !framing.contains("close") ? "length" : "close")
          + (endless ? "-endless" : "-stops");
    }
  }

  /** Answers are usual so soon that a request with little time is not turned away. */
  private String hasty(String... members) throws IOException {
    return config(members).replace("\"aim-ns\": 10000000000", "\"aim-ns\": 800000000");
  }

  /**
   * A server that stops behind what is held, or goes on without end, once left its client with
   * neither an end nor a break: for 8 s, or for good.
   */
  @Test
  void aResponseIncompleteAtItsDeadlineIsResetSoThatTheClientCanTell() throws Exception {
    byte[] piece = new byte[20_000];
    FakePeer server =
        peer(
            m -> {
              OutputStream out = m.socket().getOutputStream();
              if (m.first().contains("whole")) {
                // More than the system holds on its way.
                say(out, "HTTP/1.1 200 OK\r\nContent-Length: " + 11 * BODY.length + "\r\n\r\n");
                for (int i = 0; i < 11; i++) {
                  out.write(BODY);
                }
                return;
              }
              boolean chunks = m.first().contains("chunked");
              say(
                  out,
                  "HTTP/1.1 200 OK\r\n"
                      + (chunks
                          ? "Transfer-Encoding: chunked"
                          : m.first().contains("length")
                              ? "Content-Length: 2000000000"
                              : "Connection: close")
                      + "\r\n\r\n");
              // Endless means for longer than anybody waits here.
              for (int i = 0; i < (m.first().contains("endless") ? 3_000 : 5); i++) {
                say(out, chunks ? Integer.toHexString(piece.length) + "\r\n" : "");
                out.write(piece);
                say(out, chunks ? "\r\n" : "");
                Thread.sleep(5);
              }
              m.socket().getInputStream().read();
            });
    EdgeNode node = startNode(hasty(member("s-0", server.address(), "Ready", 0)));
    Socket slow = client(node);
    slow.setReceiveBufferSize(64 << 10);
    say(slow.getOutputStream(), lookup("t-slow", "HTTP/1.1").replace("/api", "/api?whole"));
    assertTrue(head(slow.getInputStream()).contains("200"));
    assertArrayEquals(BODY, slow.getInputStream().readNBytes(BODY.length));
    List<CompletableFuture<String>> told = new ArrayList<>();
    List<Form> forms = new ArrayList<>();
    for (String framing :
        new String[] {"Content-Length", "Transfer-Encoding", "Connection: close"}) {
      for (String version : new String[] {"HTTP/1.1", "HTTP/1.0"}) {
        forms.add(new Form(framing, false, version));
        forms.add(new Form(framing, true, version));
      }
    }
    for (Form form : forms) {
      Socket client = client(node);
      client.setSoTimeout(3_000);
      String id = "t-" + forms.indexOf(form);
      told.add(
          CompletableFuture.supplyAsync(
              () ->
                  end(
                      client,
                      lookup(id, form.version())
                          .replace("/api", form.path())
                          .replace("20000", "1500")
                          .replace(
                              "customer=0000000000000007",
                              "customer=" + "%016x".formatted(id.hashCode() & 0xffff))),
              task -> new Thread(task).start()));
    }
    for (Form form : forms) {
      assertEquals("cut in time", told.get(forms.indexOf(form)).get(), form.toString());
    }
    // Inside its own time an answer goes on, however slowly it is taken.
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
   * Reads an answer to its end; what a client could tell of that, whose time is 1.5 s, and lost
   * from 2 s on.
   */
  private static String end(Socket client, String request) {
    long began = System.nanoTime();
    StringBuilder all = new StringBuilder();
    boolean reset = false;
    try {
      say(client.getOutputStream(), request);
      byte[] some = new byte[65_536];
      for (int n = client.getInputStream().read(some);
          n >= 0;
          n = client.getInputStream().read(some)) {
        all.append(new String(some, 0, n, StandardCharsets.ISO_8859_1));
      }
    } catch (SocketTimeoutException e) {
      return "neither an end nor a break 3 s after the last byte, " + all.length() + " bytes";
    } catch (IOException e) {
      reset = true;
    }
    long ms = (System.nanoTime() - began) / 1_000_000;
    boolean begun = all.indexOf("HTTP/1.1 200") == 0 && all.length() > 64 << 10;
    boolean seen =
        reset
            || all.indexOf("Content-Length") > 0
            || all.indexOf("chunked") > 0 && all.lastIndexOf("0\r\n\r\n") != all.length() - 5;
    return begun && seen && ms >= 1_450 && ms < 2_000
        ? "cut in time"
        : (begun ? "begun" : "not begun")
            + (seen ? ", seen as cut" : ", taken for whole")
            + " after "
            + ms
            + " ms";
  }

  /**
   * All of it is here, and its client takes none of it: beyond its time it is cut, unless a further
   * request would be lost.
   */
  @Test
  void aCompleteResponseUnreadAtItsDeadlineIsResetUnlessAnotherRequestIsQueued() throws Exception {
    for (boolean behind : new boolean[] {false, true}) {
      EdgeNode node = startNode(hasty(member("s-0", "127.0.0.1:1", "Ready", 0)));
      EmbeddedChannel client =
          node.loop
              .submit(
                  () -> {
                    EmbeddedChannel server = new EmbeddedChannel(node.upstreamPool.handlers());
                    node.upstreamPool.adopt("s-0", server);
                    EmbeddedChannel made = new EmbeddedChannel(node.clients.handlers());
                    made.pipeline()
                        .addFirst(
                            new ChannelOutboundHandlerAdapter() {
                              @Override
                              public void write(
                                  ChannelHandlerContext context,
                                  Object message,
                                  ChannelPromise promise) {
                                // The system has no room for it.
                                ReferenceCountUtil.release(message);
                              }
                            });
                    made.writeInbound(
                        Unpooled.copiedBuffer(
                            lookup("t-1", "HTTP/1.1").replace("20000", "300"),
                            StandardCharsets.US_ASCII));
                    server.releaseOutbound();
                    server.writeInbound(
                        Unpooled.copiedBuffer(
                            "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n",
                            StandardCharsets.US_ASCII),
                        Unpooled.wrappedBuffer(BODY, 0, 70_000),
                        Unpooled.wrappedBuffer(BODY, 70_000, 30_000));
                    if (behind) {
                      made.writeInbound(
                          Unpooled.copiedBuffer(
                              lookup("t-2", "HTTP/1.1"), StandardCharsets.US_ASCII));
                    }
                    return made;
                  })
              .get();
      assertTrue(client.isActive());
      long began = System.nanoTime();
      while (node.loop.submit(client::isActive).get()
          && System.nanoTime() - began < 1_000_000_000L) {
        Thread.onSpinWait();
      }
      assertEquals(behind, client.isActive(), "with another behind it: " + behind);
    }
  }

  /** A client that does not read must not have the whole answer wait in memory. */
  @Test
  void aSlowReaderSlowsItsUpstream() throws Exception {
    CompletableFuture<Integer> stuck = new CompletableFuture<>();
    String at =
        server(
            socket -> {
              head(socket.getInputStream());
              say(socket.getOutputStream(), "HTTP/1.1 200 OK\r\nContent-Length: 33000000\r\n\r\n");
              for (int i = 0; i < 11; i++) {
                socket.getOutputStream().write(BODY);
                stuck.complete(i);
              }
            });
    EdgeNode node = startNode(config(member("s-0", at, "Ready", 0)));
    Socket client = client(node);
    client.setReceiveBufferSize(64 << 10);
    say(client.getOutputStream(), lookup("t-1", "HTTP/1.1"));
    head(client.getInputStream());
    long before = PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory();
    for (int i = 0; i < 11; i++) {
      assertArrayEquals(BODY, client.getInputStream().readNBytes(BODY.length), "part " + i);
      long now = PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory();
      assertTrue(now - before < 12 << 20, "memory for buffers grew by " + (now - before));
    }
  }

  @Test
  void aLongRequestIsForwardedWholeInEachFraming() throws Exception {
    BlockingQueue<byte[]> came = new LinkedBlockingQueue<>();
    String at =
        server(
            socket -> {
              for (String head = head(socket.getInputStream());
                  head != null;
                  head = head(socket.getInputStream())) {
                came.add(
                    head.contains("chunked")
                        ? unchunk(socket.getInputStream())
                        : socket
                            .getInputStream()
                            .readNBytes(
                                Integer.parseInt(
                                    head.replaceAll("(?is).*content-length: (\\d+).*", "$1"))));
                say(socket.getOutputStream(), FakePeer.ok("", "done"));
              }
            });
    EdgeNode node = startNode(config(member("s-0", at, "Ready", 0)));
    Socket client = client(node);
    say(
        client.getOutputStream(),
        orderRequest("t-1", "Expect: 100-continue\r\nContent-Length: " + BODY.length));
    assertTrue(head(client.getInputStream()).startsWith("HTTP/1.1 100"));
    client.getOutputStream().write(BODY);
    assertEquals("done", FakePeer.read(client).body());
    assertArrayEquals(BODY, came.poll(30, TimeUnit.SECONDS));
    say(client.getOutputStream(), orderRequest("t-2", "Transfer-Encoding: chunked"));
    client.getOutputStream().write(chunked(BODY));
    // The next one comes right behind it.
    sendOrder(client, "t-3");
    assertEquals("done", FakePeer.read(client).body());
    assertArrayEquals(BODY, came.poll(30, TimeUnit.SECONDS));
    assertEquals("done", FakePeer.read(client).body());
    assertEquals("book", new String(came.poll(30, TimeUnit.SECONDS), StandardCharsets.UTF_8));
  }

  /** A part of it was let go, so that no second server may get what would not be whole. */
  @Test
  void aForwardedLongRequestIsNotRetried() throws Exception {
    BlockingQueue<String> heads = new LinkedBlockingQueue<>();
    Script cut =
        socket -> {
          heads.add(head(socket.getInputStream()));
          socket.getInputStream().readNBytes(BODY.length / 2);
          socket.close();
        };
    EdgeNode node =
        startNode(
            config(member("s-0", server(cut), "Ready", 0), member("s-1", server(cut), "Ready", 0)));
    Socket client = client(node);
    say(client.getOutputStream(), orderRequest("t-1", "Content-Length: " + BODY.length));
    CompletableFuture.runAsync(
        () -> {
          try {
            client.getOutputStream().write(BODY);
          } catch (IOException e) {
            // It ends before all of it is taken.
          }
        });
    String head = head(client.getInputStream());
    // Whether its connection ends depends on how much of it the kernel took before.
    assertTrue(head.startsWith("HTTP/1.1 50"), head);
    assertEquals(1, heads.size());
  }

  /** The client leaves in the midst of it: its server must not wait for the rest. */
  @Test
  void aClientThatLeavesEndsBothWays() throws Exception {
    BlockingQueue<String> ended = new LinkedBlockingQueue<>();
    String at =
        server(
            socket -> {
              InputStream in = socket.getInputStream();
              if (head(in).startsWith("POST")) {
                int left = in.readAllBytes().length;
                ended.add(left < BODY.length ? "short" : "whole");
                return;
              }
              say(socket.getOutputStream(), "HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n");
              try {
                for (int i = 0; i < 10; i++) {
                  socket.getOutputStream().write(BODY);
                }
              } catch (IOException e) {
                ended.add("cut");
              }
            });
    EdgeNode node = startNode(config(member("s-0", at, "Ready", 0)));
    Socket up = client(node);
    say(up.getOutputStream(), orderRequest("t-1", "Content-Length: " + BODY.length));
    up.getOutputStream().write(BODY, 0, 1_000_000);
    up.close();
    assertEquals("short", ended.poll(30, TimeUnit.SECONDS));
    Socket down = client(node);
    say(down.getOutputStream(), lookup("t-2", "HTTP/1.1"));
    head(down.getInputStream());
    down.close();
    assertEquals("cut", ended.poll(30, TimeUnit.SECONDS));
    while (!node.metrics.render().contains("app.in_progress=0")) {
      assertTrue(!Thread.interrupted(), node.metrics.render());
    }
  }

  @Test
  void aHeadRequestGetsNoBodyAndAnUnknownExpectationANo() throws Exception {
    EdgeNode node = startNode(peer(m -> m.answer(FakePeer.ok("", "x"))));
    Socket client = client(node);
    say(client.getOutputStream(), "HEAD /_health HTTP/1.1\r\n\r\nGET /nowhere HTTP/1.1\r\n\r\n");
    assertTrue(head(client.getInputStream()).startsWith("HTTP/1.1 405"));
    assertTrue(head(client.getInputStream()).startsWith("HTTP/1.1 404"));
    Socket other = client(node);
    say(other.getOutputStream(), orderRequest("t-1", "Expect: a-miracle\r\nContent-Length: 4"));
    assertEquals("417", status(FakePeer.read(other)));
    assertNull(FakePeer.read(other));
  }

  /** A second request on a connection that stops half-way once kept its place for good. */
  @Test
  void aClientThatStallsInALaterRequestIsTimedOut() throws Exception {
    EdgeNode node = startNode(peer(m -> m.answer(FakePeer.ok("", "x"))));
    for (String part :
        new String[] {"GET /api HT", "POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nha"}) {
      Socket client = client(node);
      assertEquals("200", exchangeOrder(client, "t-" + part.length()));
      say(client.getOutputStream(), part);
      assertNull(FakePeer.read(client), part);
    }
  }
}

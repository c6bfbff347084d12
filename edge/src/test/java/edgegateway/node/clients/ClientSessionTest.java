package edgegateway.node.clients;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.node.config.NodeConfig;
import edgegateway.node.config.NodeConfigParser;
import edgegateway.node.connections.BufferedBodies;
import edgegateway.node.connections.ClientConnectionTable;
import edgegateway.node.connections.ConnectionMetrics;
import edgegateway.node.connections.DescriptorBudget;
import edgegateway.node.lifecycle.EventLoopStallDetector;
import edgegateway.node.requests.BodyRelay;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the requests and responses of one client connection, without a socket. */
class ClientSessionTest {
  private static final String REQUEST =
      "GET /api HTTP/1.1\r\nX-Trace-Id: %s\r\nX-Qos: lookup\r\nX-Plan: bulk\r\n"
          + "Cookie: customer=0000000000000007\r\nX-Expires-In-Ms: 1000\r\n"
          + "X-Quota: units=1,spread=1,first=0\r\n%s\r\n";

  private final FakeRequestHandler handler = new FakeRequestHandler();
  private final FakeServerEvents server = new FakeServerEvents();
  private final ConnectionMetrics metrics = new ConnectionMetrics();
  private ClientConnectionTable connections;
  private EmbeddedChannel channel;

  /** Counts the events of sessions. */
  private static final class FakeServerEvents implements ClientSessionContext.ServerEvents {
    private boolean draining;
    private int opened;
    private int removed;
    private int ended;

    @Override
    public boolean isDraining() {
      return draining;
    }

    @Override
    public long openedAtNanos(long nowNanos) {
      return nowNanos;
    }

    @Override
    public void connectionOpened() {
      opened++;
    }

    @Override
    public void connectionRemoved() {
      removed++;
    }

    @Override
    public void sessionEnded() {
      ended++;
    }
  }

  @BeforeEach
  void openConnection() throws Exception {
    connections = new ClientConnectionTable(() -> {}, metrics);
    DescriptorBudget budget =
        new DescriptorBudget(10, 2, 1, 1, 1, 1 << 20, TimeUnit.SECONDS.toNanos(75), List.of());
    connections.applyBudget(System.nanoTime(), budget);
    channel = newChannel(budget);
  }

  private EmbeddedChannel newChannel(DescriptorBudget budget) throws Exception {
    NodeConfig config =
        NodeConfigParser.parse(
            Files.readString(Path.of("src/test/resources/node.json"))
                .replace("DISCOVERY", "127.0.0.1:1")
                .replace("COUNTER", "127.0.0.1:2")
                .replace("MEMBERS", ""));
    return new EmbeddedChannel(
        new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel created) {
            ClientSessionContext context = newContext(config, budget, created.eventLoop());
            StrictRequestDecoder decoder = new StrictRequestDecoder(1_024);
            ClientSession session = new ClientSession(context, decoder);
            created.pipeline().addLast(decoder, new HttpResponseEncoder(), session);
          }
        });
  }

  private ClientSessionContext newContext(
      NodeConfig config, DescriptorBudget budget, EventLoop loop) {
    BufferedBodies bufferedBodies = new BufferedBodies(metrics);
    bufferedBodies.applyBudget(budget);
    return new ClientSessionContext(
        server,
        handler,
        new RequestParser(config, handler),
        new ConnectionCloser(loop, null),
        connections,
        bufferedBodies,
        new BodyRelay.Group(loop),
        new PipelineScheduler(loop),
        new EventLoopStallDetector(System.nanoTime()),
        loop,
        false);
  }

  @AfterEach
  void close() {
    channel.finishAndReleaseAll();
  }

  private void receive(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
  }

  private static String request(String id, String headers) {
    return REQUEST.formatted(id, headers);
  }

  /** Returns everything that was written to the client since the last call. */
  private String written() {
    StringBuilder text = new StringBuilder();
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      text.append(part.toString(StandardCharsets.US_ASCII));
      part.release();
    }
    return text.toString();
  }

  private void respond(int request, String body) {
    ByteBuf bytes = Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII);
    handler.accepted.get(request).claimResponse().sendResponse(bytes);
    bytes.release();
  }

  @Test
  void aRequestIsAcceptedAndTheResponseWritten() {
    receive(request("t-1", ""));
    assertEquals("t-1", handler.accepted.get(0).request.id());
    respond(0, "done");
    assertEquals("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone", written());
    assertTrue(channel.isOpen());
  }

  @Test
  void aPipelinedRequestWaitsForThePreviousResponse() {
    receive(request("t-1", "") + request("t-2", ""));
    assertEquals(1, handler.accepted.size());
    respond(0, "first");
    assertTrue(written().endsWith("first"));
    channel.runPendingTasks();
    assertEquals("t-2", handler.accepted.get(1).request.id());
    respond(1, "second");
    assertTrue(written().endsWith("second"));
  }

  @Test
  void aResponseDuringADrainClosesTheConnection() {
    server.draining = true;
    receive(request("t-1", ""));
    respond(0, "done");
    assertTrue(written().contains("connection: close\r\n"));
    assertFalse(channel.isOpen());
    assertEquals(1, server.ended);
  }

  @Test
  void aRequestWhoseIdIsInFlightGetsStatus409() {
    handler.duplicate = true;
    receive(request("t-1", ""));
    String response = written();
    assertTrue(response.startsWith("HTTP/1.1 409 Conflict\r\n"), response);
    assertTrue(response.endsWith("a request of this id is open\n"), response);
    assertTrue(channel.isOpen());
  }

  @Test
  void aMalformedRequestGetsStatus400AndClosesTheConnection() {
    receive("no request\r\n\r\n");
    String response = written();
    assertTrue(response.startsWith("HTTP/1.1 400 Bad Request\r\n"), response);
    assertTrue(response.endsWith("this is no request that can be read\n"), response);
    assertFalse(channel.isOpen());
  }

  @Test
  void theHealthCheckReturnsTheNodesHealthAndAllowsGetOnly() {
    receive("GET /_health HTTP/1.1\r\n\r\n");
    assertTrue(written().startsWith("HTTP/1.1 200 OK\r\n"));
    handler.healthy = false;
    receive("GET /_health HTTP/1.1\r\n\r\n");
    assertTrue(written().startsWith("HTTP/1.1 503 Service Unavailable\r\n"));
    receive("POST /_health HTTP/1.1\r\ncontent-length: 0\r\n\r\n");
    assertTrue(written().startsWith("HTTP/1.1 405 Method Not Allowed\r\n"));
  }

  @Test
  void aContentLengthAboveTheLimitIsRejectedBeforeTheBody() {
    receive("POST /api HTTP/1.1\r\ncontent-length: 33554433\r\n\r\n");
    assertTrue(written().startsWith("HTTP/1.1 413 Request Entity Too Large\r\n"));
    assertFalse(channel.isOpen());
  }

  @Test
  void aDisconnectIsReportedWithTheRequestInFlight() {
    receive(request("t-1", ""));
    channel.close();
    assertEquals(handler.accepted, handler.disconnected);
    assertEquals(List.of(1, 1, 1), List.of(server.opened, server.removed, server.ended));
    assertEquals(0, connections.openCount());
  }

  @Test
  void aResponseCanBeClaimedOnlyOnce() {
    receive(request("t-1", ""));
    respond(0, "done");
    assertNull(handler.accepted.get(0).claimResponse());
  }

  @Test
  @Timeout(30)
  void aClientThatDoesNotReadItsResponsesGetsNoFurtherOnes() {
    handler.duplicate = true;
    List<ChannelPromise> unwritten = new ArrayList<>();
    ChannelOutboundHandlerAdapter blockedSocket =
        new ChannelOutboundHandlerAdapter() {
          @Override
          public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            ReferenceCountUtil.release(message);
            unwritten.add(promise);
          }
        };
    channel.pipeline().addFirst(blockedSocket);
    for (int i = 0; i < 100; i++) {
      receive(request("t-" + i, ""));
    }
    assertEquals(64, unwritten.size());
    unwritten.forEach(promise -> promise.setSuccess());
    while (unwritten.size() < 100) {
      channel.runPendingTasks();
    }
  }
}

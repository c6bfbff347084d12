package edgegateway.node.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.node.connections.BufferedBodies;
import edgegateway.node.connections.ConnectionMetrics;
import edgegateway.node.connections.DescriptorBudget;
import edgegateway.node.connections.StrictHttpResponseDecoder;
import edgegateway.node.connections.Upstream;
import edgegateway.node.connections.UpstreamConnection;
import edgegateway.node.connections.UpstreamConnectionTable;
import edgegateway.node.connections.UpstreamTransport;
import edgegateway.node.metrics.NodeMetrics;
import edgegateway.node.requests.AttemptListener;
import edgegateway.node.requests.BodyRelay;
import edgegateway.node.requests.InFlightRequest;
import edgegateway.policy.api.Idempotency;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.Request;
import edgegateway.policy.api.RequestClass;
import edgegateway.policy.api.ResponseProgress;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

/** Tests one connection and its attempts on an in-memory channel. */
class UpstreamConnectionHandlerTest implements AttemptListener, UpstreamTransport {
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);

  /** The calls of {@link AttemptListener}, as text. */
  private final List<String> results = new ArrayList<>();

  private boolean channelOpenAtEnd;
  private long untilDeadlineNanos = TIMEOUT_NANOS;
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final ConnectionMetrics connectionMetrics = new ConnectionMetrics();
  private final BufferedBodies bufferedBodies = new BufferedBodies(connectionMetrics);
  private final UpstreamContext context =
      new UpstreamContext(
          this,
          channel.eventLoop(),
          new NodeMetrics(List.of("lookup"), connectionMetrics),
          bufferedBodies,
          new BodyRelay.Group(channel.eventLoop()));
  private final Upstream upstream =
      new UpstreamConnectionTable(this, connectionMetrics, 1, TimeUnit.SECONDS.toNanos(15))
          .createUpstream("server", false);

  UpstreamConnectionHandlerTest() {
    bufferedBodies.applyBudget(new DescriptorBudget(1, 1, 9, 9, 1, 1 << 20, 1, List.of()));
    StrictHttpResponseDecoder decoder = new StrictHttpResponseDecoder();
    UpstreamConnectionHandler handler = new UpstreamConnectionHandler(context, decoder);
    channel.pipeline().addLast(new HttpRequestEncoder(), decoder, handler);
    handler.established(upstream.adopt(System.nanoTime()));
  }

  @Override
  public void connect(UpstreamConnection connection) {
    connection.attachTransport(() -> {});
  }

  @Override
  public void scheduleRecheck(Upstream waiting, long delayNanos) {}

  @Override
  public long nowNanos() {
    return System.nanoTime();
  }

  @Override
  public void attemptEnded(
      InFlightRequest request,
      Outcome outcome,
      long durationNanos,
      String server,
      double actualUnits,
      ByteBuf body) {
    String text = body == null ? "" : " " + body.toString(StandardCharsets.US_ASCII);
    results.add(request.request.id() + " " + outcome + " " + actualUnits + text);
    channelOpenAtEnd = channel.isActive();
  }

  @Override
  public Channel responseStarted(
      InFlightRequest request,
      long length,
      long durationNanos,
      String server,
      Supplier<ResponseProgress> progress,
      Runnable onClientDisconnect) {
    results.add(request.request.id() + " forwarded " + length);
    return null;
  }

  @Override
  public boolean streamsBuffered(ResponseProgress progress, long heldNanos) {
    return false;
  }

  @Override
  public long untilDeadlineNanos(InFlightRequest request) {
    return untilDeadlineNanos;
  }

  @Override
  public long headWaitNanos(InFlightRequest request, long silentNanos) {
    return 0;
  }

  @Override
  public boolean streamsAtTimeout(
      InFlightRequest request, String endpointId, ResponseProgress progress) {
    return false;
  }

  /** Starts an attempt of an idempotent request whose client is known to be connected. */
  private InFlightRequest send(String id) {
    RequestClass lookup = new RequestClass(1, 1, Idempotency.IDEMPOTENT, null, 0, 0, 1);
    InFlightRequest request =
        new InFlightRequest(
            new Request(id, 0, 0, 7, 0, 1, 1, 0, false),
            HttpMethod.POST,
            "/api",
            "key-" + id,
            TIMEOUT_NANOS,
            Unpooled.copiedBuffer("book", StandardCharsets.US_ASCII),
            bufferedBodies.newBody(7),
            null,
            new ConnectedClient());
    new UpstreamAttempt(context, request, lookup, "s-0", TIMEOUT_NANOS, upstream).start();
    return request;
  }

  /** Removes and returns all bytes written to the channel. */
  private String takeWritten() {
    StringBuilder text = new StringBuilder();
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      text.append(part.toString(StandardCharsets.US_ASCII));
      ReferenceCountUtil.release(part);
    }
    return text.toString();
  }

  private void receive(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
  }

  private static String okResponse(String body) {
    return "HTTP/1.1 200 OK\r\nX-Units-Charged: 2\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  @Test
  void anAttemptThatStartedLateTimesOutBeforeItsRequestIsFailedAtTheDeadline() {
    channel.freezeTime();
    untilDeadlineNanos = TIMEOUT_NANOS / 2;
    send("t-1");
    channel.advanceTimeBy(untilDeadlineNanos - 1, TimeUnit.NANOSECONDS);
    channel.runScheduledPendingTasks();
    assertEquals(List.of(), results);
    channel.advanceTimeBy(1, TimeUnit.NANOSECONDS);
    channel.runScheduledPendingTasks();
    assertEquals(1, results.size());
  }

  @Test
  void theWrittenRequestHasTheAttemptHeadersAndTheBody() {
    send("t-1");
    String sent = takeWritten();
    assertTrue(sent.startsWith("POST /api HTTP/1.1\r\n"), sent);
    assertTrue(sent.endsWith("\r\n\r\nbook"), sent);
    assertTrue(sent.contains("host: app.svc\r\n"), sent);
    assertTrue(sent.contains("X-Trace-Id: t-1\r\n"), sent);
    assertTrue(sent.contains("Idempotency-Key: key-t-1\r\n"), sent);
    assertTrue(sent.contains("content-length: 4\r\n"), sent);
    assertTrue(sent.matches("(?s).*X-Expires-In-Ms: (19\\d{3}|20000)\r\n.*"), sent);
  }

  @Test
  void aCompleteResponseEndsTheAttemptAndTheConnectionIsReused() {
    send("t-1");
    receive(okResponse("body"));
    assertEquals(List.of("t-1 OK 2.0 body"), results);
    takeWritten();
    send("t-2");
    assertTrue(takeWritten().contains("X-Trace-Id: t-2"));
    receive("HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
    assertEquals("t-2 REJECTED 0.0 ", results.get(1));
    assertTrue(channel.isActive());
  }

  @Test
  void bytesAfterAResponseInTheSameReadCloseTheConnection() {
    send("t-1");
    receive(okResponse("body") + okResponse("stray"));
    assertEquals(List.of("t-1 OK 2.0 body"), results);
    assertFalse(channel.isActive());
  }

  @Test
  void bytesOnAnIdleConnectionCloseIt() {
    receive("H");
    assertFalse(channel.isActive());
    assertEquals(List.of(), results);
  }

  @Test
  void anInformationalResponseIsSkipped() {
    send("t-1");
    receive("HTTP/1.1 100 Continue\r\n\r\n");
    assertEquals(List.of(), results);
    receive(okResponse("body"));
    assertEquals(List.of("t-1 OK 2.0 body"), results);
  }

  @Test
  void aMalformedResponseEndsTheAttemptAsReset() {
    send("t-1");
    receive("nonsense\r\n\r\n");
    assertEquals(List.of("t-1 RESET 0.0"), results);
    assertFalse(channel.isActive());
  }

  @Test
  void aTruncatedResponseEndsTheAttemptAsReset() {
    send("t-1");
    receive(okResponse("body").replace("body", "bo"));
    channel.close();
    assertEquals(List.of("t-1 RESET 0.0"), results);
  }

  @Test
  void aTimeoutClosesTheConnectionBeforeTheAttemptEnds() {
    send("t-1");
    channelOpenAtEnd = true;
    channel.advanceTimeBy(TIMEOUT_NANOS / 2, TimeUnit.NANOSECONDS);
    channel.runScheduledPendingTasks();
    assertEquals(List.of(), results);
    channel.advanceTimeBy(TIMEOUT_NANOS / 2, TimeUnit.NANOSECONDS);
    channel.runScheduledPendingTasks();
    // RESET, because an EmbeddedChannel reports that it is closed from within close(). A socket
    // reports it later, so that the outcome is TIMEOUT there.
    assertEquals(List.of("t-1 RESET 0.0"), results);
    assertFalse(channelOpenAtEnd);
  }

  @Test
  void aCancelledWaitingAttemptIsNotSent() {
    send("t-1");
    InFlightRequest waiting = send("t-2");
    takeWritten();
    waiting.cancelUnsentAttempt();
    assertEquals(List.of("t-2 NOT_SENT 0.0"), results);
    receive(okResponse("body"));
    assertEquals("", takeWritten());
    assertNull(waiting.unsentAttemptCancellation);
  }

  @Test
  void aLongResponseToADisconnectedClientCancelsTheAttempt() {
    send("t-1");
    receive("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + "x".repeat(70_000));
    assertEquals(List.of("t-1 forwarded 100000", "t-1 CANCELLED 0.0"), results);
    assertFalse(channel.isActive());
  }

  /**
   * Guards against held bytes that are never released, until every request with a body is rejected:
   * the last bytes of a response start the streaming to a client that is gone.
   */
  @Test
  void aCompleteLongResponseToADisconnectedClientIsReleased() {
    for (int length = 65_000; length <= 66_000; length += 100) {
      UpstreamConnectionHandlerTest test = new UpstreamConnectionHandlerTest();
      test.send("t-1");
      test.receive(okResponse("x".repeat(length)));
      boolean streamed = test.results.get(0).equals("t-1 forwarded " + length);
      assertEquals(length > UpstreamPool.MAX_BUFFERED_RESPONSE_BYTES, streamed, "length " + length);
      assertEquals(!streamed, test.channel.isActive(), "length " + length);
      assertEquals(0L, test.heldBytes(), "length " + length);
      test.channel.checkException();
    }
  }

  private long heldBytes() {
    Map<String, Long> values = new HashMap<>();
    connectionMetrics.forEach(values::put);
    return values.get("held_bytes");
  }

  /** A client that is known to be connected and ignores every response. */
  private static final class ConnectedClient implements InFlightRequest.ResponseWriter {
    @Override
    public void sendResponse(ByteBuf body) {}

    @Override
    public void sendRejection(long retryAfterNanos) {}

    @Override
    public void sendFailure() {}

    @Override
    public Channel startStream(long length, Runnable onClientDisconnect) {
      return null;
    }

    @Override
    public void endStream(boolean complete) {}

    @Override
    public boolean wouldHaveSeenDisconnect() {
      return true;
    }

    @Override
    public void checkClientPresence(Runnable then) {
      then.run();
    }

    @Override
    public boolean isStreaming() {
      return false;
    }

    @Override
    public void abortStream() {}
  }
}

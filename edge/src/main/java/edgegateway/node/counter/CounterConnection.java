package edgegateway.node.counter;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.connections.OutboundConnector;
import edgegateway.node.connections.StrictHttpResponseDecoder;
import edgegateway.node.logging.EventLog;
import edgegateway.policy.api.Outcome;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Last handler in the pipeline of one connection to the counter service. Pipelines calls and
 * matches the replies to them in order. It connects once and is not reused after {@link #close}.
 * Not thread-safe: used on the event loop only.
 */
final class CounterConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
  private static final EventLog LOG = EventLog.console();

  /** Maximum number of calls per connection, queued and in flight together. */
  private static final int MAX_CALLS = 256;

  /** If a call is older than this many timeouts, its connection counts as unresponsive. */
  private static final int UNRESPONSIVE_TIMEOUTS = 10;

  private final CounterClient client;
  private final EventLoop loop;
  private final long timeoutNanos;
  private final ArrayDeque<CounterCall> queued = new ArrayDeque<>();
  private final ArrayDeque<CounterCall> inFlight = new ArrayDeque<>();
  private Channel channel;
  private boolean flushScheduled;
  private boolean closed;

  CounterConnection(CounterClient client, EventLoop loop, long timeoutNanos) {
    this.client = client;
    this.loop = loop;
    this.timeoutNanos = timeoutNanos;
  }

  /** Starts to connect; calls may be added before the connection is established. */
  void connect(Bootstrap bootstrap, InetSocketAddress address) {
    ChannelFuture connecting;
    try {
      connecting = OutboundConnector.connect(bootstrap.clone().handler(pipeline()), address);
    } catch (IOException e) {
      LOG.warn("counter_connection_not_opened", field("address", address), field("error", e));
      loop.execute(this::close);
      return;
    }
    channel = connecting.channel();
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            writeQueued();
          } else {
            close();
          }
        });
  }

  private ChannelInitializer<Channel> pipeline() {
    return new ChannelInitializer<Channel>() {
      @Override
      protected void initChannel(Channel created) {
        created
            .pipeline()
            .addLast(
                new HttpRequestEncoder(),
                new StrictHttpResponseDecoder(),
                new HttpObjectAggregator(CounterProtocol.MAX_RESPONSE_BYTES),
                CounterConnection.this);
      }
    };
  }

  /**
   * Queues a call, or fails it if the connection has {@link #MAX_CALLS} already. The call ends
   * later, never from within this method.
   */
  void add(CounterCall call) {
    if (queued.size() + inFlight.size() >= MAX_CALLS) {
      loop.execute(() -> call.fail(Outcome.NOT_SENT));
      return;
    }
    queued.add(call);
    loop.schedule(() -> timeOut(call), timeoutNanos, TimeUnit.NANOSECONDS);
    if (!flushScheduled) {
      // All calls added in one iteration of the event loop are flushed together.
      flushScheduled = true;
      loop.execute(
          () -> {
            flushScheduled = false;
            writeQueued();
          });
    }
  }

  private void writeQueued() {
    if (channel == null || !channel.isActive() || closed) {
      return;
    }
    while (!queued.isEmpty()) {
      CounterCall call = queued.poll();
      inFlight.add(call);
      channel.write(encode(call)).addListener(done -> call.writeCompleted(done.isSuccess()));
    }
    channel.flush();
  }

  private static DefaultFullHttpRequest encode(CounterCall call) {
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, call.uri());
    request
        .headers()
        .set(HttpHeaderNames.HOST, CounterProtocol.HOST)
        .set(HttpHeaderNames.CONTENT_LENGTH, 0);
    return request;
  }

  private void timeOut(CounterCall call) {
    if (call.hasEnded()) {
      return;
    }
    boolean wasQueued = queued.remove(call);
    call.timeOut();
    // A queued call was removed and is not sent. If a call in flight is not written completely,
    // closing the connection keeps the rest of it from being sent. If the connection has been
    // unresponsive for long, closing it makes later calls open a new one.
    if (!wasQueued && (!call.isWritten() || isUnresponsive())) {
      close();
    }
  }

  private boolean isUnresponsive() {
    CounterCall oldest = inFlight.peek();
    return oldest != null
        && oldest.ageNanos(System.nanoTime()) > UNRESPONSIVE_TIMEOUTS * timeoutNanos;
  }

  /** Closes the connection and ends its calls in order. Has no effect if already closed. */
  void close() {
    if (closed) {
      return;
    }
    closed = true;
    client.connectionClosed(this);
    if (channel != null) {
      channel.close();
    }
    while (!inFlight.isEmpty()) {
      inFlight.poll().connectionLost();
    }
    while (!queued.isEmpty()) {
      queued.poll().connectionLost();
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
    boolean malformed = response.decoderResult().isFailure();
    if (!malformed && CounterProtocol.isInformational(response)) {
      return;
    }
    if (malformed || inFlight.isEmpty() || !endOldestCall(response)) {
      close();
      return;
    }
    if (!HttpUtil.isKeepAlive(response)) {
      close();
    }
  }

  /**
   * Ends the call that has been in flight longest.
   *
   * @return false if the response has no valid total, so that the connection must be closed
   */
  private boolean endOldestCall(FullHttpResponse response) {
    if (CounterProtocol.isRejection(response)) {
      inFlight.poll().fail(Outcome.REJECTED);
      return true;
    }
    String body = response.content().toString(StandardCharsets.US_ASCII).trim();
    if (!CounterProtocol.hasTotal(response, body)) {
      // The amount may have been added, but the total is unknown. The caller closes the connection,
      // which ends the call.
      return false;
    }
    inFlight.poll().succeed(Double.parseDouble(body));
    return true;
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    close();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    close();
  }
}

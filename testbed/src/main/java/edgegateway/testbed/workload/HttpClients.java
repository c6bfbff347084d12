package edgegateway.testbed.workload;

import edgegateway.testbed.checker.HistoryEvent;
import edgegateway.testbed.workload.ClientBehavior.ClientRequest;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntFunction;

/**
 * Sends requests to edge nodes over HTTP/1.1 as {@link ClientBehavior} says (protocol, Clients to
 * edge nodes), all on one event loop. A connection carries one request at a time and is reused. A
 * client that has no response some time after its deadline closes the connection; a failed attempt
 * is retried as the retry policy allows.
 */
public final class HttpClients {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int MAX_BODY_BYTES = 1 << 16;
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int HEALTH_CHECK_INTERVAL_MILLIS = 100;
  private static final int STATUS_OK = 200;
  private static final String HEALTH_PATH = "/_health";

  private final EventLoop loop;
  private final IntFunction<InetSocketAddress> addressOf;
  private final ClientBehavior behavior;
  private final Consumer<HistoryEvent> history;

  /** The open connections without a request, per edge node; the last one used is reused first. */
  private final List<ArrayDeque<Channel>> idle = new ArrayList<>();

  private final CompletableFuture<Void> done = new CompletableFuture<>();
  private List<RequestArrival> arrivals;
  private long startNanos;

  /** Index of the next arrival to send. */
  private int nextArrival;

  /** Attempts that have not ended, including those that wait for their backoff. */
  private int unfinishedAttempts;

  /**
   * Sends nothing before {@link #sendAll}.
   *
   * @param addressOf returns the address of the edge node with an index; called on the event loop
   *     for each new connection
   * @param history receives an event for each request sent, response received and failure, on the
   *     event loop
   */
  public HttpClients(
      EventLoop loop,
      IntFunction<InetSocketAddress> addressOf,
      ClientBehavior behavior,
      Consumer<HistoryEvent> history) {
    this.loop = loop;
    this.addressOf = addressOf;
    this.behavior = behavior;
    this.history = history;
    for (int i = 0; i < behavior.nodeCount(); i++) {
      idle.add(new ArrayDeque<>());
    }
  }

  /**
   * Sends each request at its arrival time, counted from now; called once per instance. The future
   * completes when all requests were sent and no attempt is unfinished.
   */
  public CompletableFuture<Void> sendAll(List<RequestArrival> requests) {
    loop.execute(
        () -> {
          arrivals = requests;
          startNanos = System.nanoTime();
          loop.schedule(this::checkHealth, HEALTH_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
          sendDue();
        });
    return done;
  }

  /** Starts the requests whose arrival time has come, and schedules itself for the next one. */
  private void sendDue() {
    long now = System.nanoTime() - startNanos;
    while (nextArrival < arrivals.size() && arrivals.get(nextArrival).at() <= now) {
      unfinishedAttempts++;
      new ClientAttempt(behavior.firstAttempt(arrivals.get(nextArrival++), System.nanoTime()))
          .start();
    }
    if (nextArrival < arrivals.size()) {
      loop.schedule(this::sendDue, arrivals.get(nextArrival).at() - now, TimeUnit.NANOSECONDS);
    } else if (unfinishedAttempts == 0) {
      done.complete(null);
    }
  }

  private void checkHealth() {
    for (int i = 0; i < behavior.nodeCount(); i++) {
      if (behavior.front().needsHealthCheck(i)) {
        int node = i;
        connect(node, new HealthCheck(node));
      }
    }
    if (!done.isDone()) {
      loop.schedule(this::checkHealth, HEALTH_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private ChannelFuture connect(int node, SimpleChannelInboundHandler<FullHttpResponse> handler) {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(
                        new HttpClientCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), handler);
              }
            })
        .connect(addressOf.apply(node));
  }

  /** Returns {@code Retry-After} in nanoseconds; 0 if it is missing or no positive number. */
  private static long retryAfterNanos(FullHttpResponse response) {
    try {
      double seconds = Double.parseDouble(response.headers().get(HttpHeaderNames.RETRY_AFTER, "0"));
      return seconds > 0 ? (long) Math.min(Long.MAX_VALUE, seconds * NANOS_PER_SECOND) : 0;
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  private static DefaultFullHttpRequest request(HttpMethod method, String path) {
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, Unpooled.EMPTY_BUFFER);
    request.headers().set(HttpHeaderNames.HOST, "app.svc").set(HttpHeaderNames.CONTENT_LENGTH, 0);
    return request;
  }

  /** One health check of an edge node, on a connection that is closed afterwards. */
  private final class HealthCheck extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final int node;

    HealthCheck(int node) {
      this.node = node;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      context.writeAndFlush(request(HttpMethod.GET, HEALTH_PATH));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      if (response.status().code() == STATUS_OK) {
        behavior.front().markHealthy(node);
      }
      context.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }

  /** A keep-alive connection to an edge node; it carries one attempt at a time. */
  private final class ClientConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final int node;

    /** The attempt that waits for its response; null while the connection is idle. */
    private ClientAttempt current;

    ClientConnection(int node, ClientAttempt firstAttempt) {
      this.node = node;
      current = firstAttempt;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      ClientAttempt finished = current;
      current = null;
      if (HttpUtil.isKeepAlive(response)) {
        idle.get(node).push(context.channel());
      } else {
        context.close();
      }
      if (finished != null) {
        finished.responseReceived(response.status().code(), retryAfterNanos(response));
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      idle.get(node).remove(context.channel());
      if (current != null) {
        current.connectionBroken();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }

  /** One attempt of a request: from the choice of a connection to its response or failure. */
  private final class ClientAttempt {
    private final ClientRequest request;
    private final int node;
    private Channel channel;

    /** Whether the connection had carried an earlier attempt. */
    private boolean reused;

    private boolean ended;

    ClientAttempt(ClientRequest request) {
      this.request = request;
      node = request.node();
    }

    void start() {
      Channel idleChannel = idle.get(node).poll();
      if (idleChannel != null) {
        reused = true;
        idleChannel.pipeline().get(ClientConnection.class).current = this;
        write(idleChannel);
      } else {
        connectAndWrite();
      }
    }

    private void connectAndWrite() {
      connect(node, new ClientConnection(node, this))
          .addListener(
              (ChannelFutureListener)
                  connected -> {
                    if (connected.isSuccess()) {
                      write(connected.channel());
                    } else {
                      behavior.front().connectFailed(System.nanoTime(), node);
                      if (request.sent()) {
                        // The attempt was written to an idle connection that the node had closed,
                        // and the new connection for the second write failed.
                        history.accept(
                            new HistoryEvent.ClientDisconnected(System.nanoTime(), request.id()));
                      }
                      scheduleRetry(0);
                      end();
                    }
                  });
    }

    private void write(Channel target) {
      channel = target;
      long now = System.nanoTime();
      if (request.markSent(now)) {
        loop.schedule(
            this::giveUp,
            request.deadlineNanos() - now + ClientBehavior.LATE_RESPONSE_WAIT_NANOS,
            TimeUnit.NANOSECONDS);
      }
      boolean hasIdempotencyKey = request.requestClass().hasIdempotencyKey();
      DefaultFullHttpRequest message =
          request(hasIdempotencyKey ? HttpMethod.POST : HttpMethod.GET, "/api");
      message
          .headers()
          .set("X-Trace-Id", request.id())
          .set("X-Qos", request.requestClass().name())
          .set("X-Plan", request.plan().name())
          .set("Cookie", String.format(Locale.ROOT, "customer=%016x", request.arrival().customer()))
          .set("X-Expires-In-Ms", Math.max(1, (request.deadlineNanos() - now) / NANOS_PER_MILLI))
          .set(
              "X-Quota",
              "units=1,spread=" + request.spread() + ",first=" + request.arrival().first());
      if (hasIdempotencyKey) {
        message.headers().set("Idempotency-Key", "k" + request.arrival().id());
      }
      history.accept(request.sentEvent(now));
      target.writeAndFlush(message);
    }

    void responseReceived(int status, long retryAfterNanos) {
      history.accept(new HistoryEvent.ResponseReceived(System.nanoTime(), request.id(), status));
      if (status != STATUS_OK) {
        scheduleRetry(retryAfterNanos);
      }
      end();
    }

    /** Schedules the next attempt after its backoff, if the retry policy allows one. */
    private void scheduleRetry(long retryAfterNanos) {
      long delayNanos = ended ? -1 : request.retryDelayNanos(System.nanoTime(), retryAfterNanos);
      if (delayNanos >= 0) {
        unfinishedAttempts++;
        loop.schedule(
            () -> new ClientAttempt(request.nextAttempt(System.nanoTime())).start(),
            delayNanos,
            TimeUnit.NANOSECONDS);
      }
    }

    /**
     * Handles the loss of the connection before the response. The node may have closed a reused
     * connection as idle while the request was under way, so the request is written once more, on a
     * new connection (protocol).
     */
    void connectionBroken() {
      if (reused && !ended) {
        reused = false;
        connectAndWrite();
        return;
      }
      if (!ended) {
        history.accept(new HistoryEvent.ConnectionBroken(System.nanoTime(), request.id()));
        scheduleRetry(0);
      }
      end();
    }

    /** Records that the client stopped waiting, and closes the connection; no effect if ended. */
    private void giveUp() {
      if (!ended) {
        history.accept(new HistoryEvent.ClientDisconnected(System.nanoTime(), request.id()));
        end();
        if (channel != null) {
          channel.close();
        }
      }
    }

    private void end() {
      if (!ended) {
        ended = true;
        unfinishedAttempts--;
        if (unfinishedAttempts == 0 && nextArrival == arrivals.size()) {
          done.complete(null);
        }
      }
    }
  }
}

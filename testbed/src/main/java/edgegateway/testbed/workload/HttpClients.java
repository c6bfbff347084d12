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
 * Sends arrivals to edge nodes as {@link ClientBehavior} says (protocol, Clients to edge nodes),
 * all on one event loop. A connection carries one request at a time; a client leaves when its time
 * is up, and comes again if it may.
 */
public final class HttpClients {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int MAX_BODY_BYTES = 1 << 16;
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int HEALTH_CHECK_MILLIS = 100;
  private static final int STATUS_OK = 200;
  private static final String HEALTH_PATH = "/_health";

  private final EventLoop loop;
  private final IntFunction<InetSocketAddress> addressOf;
  private final ClientBehavior behavior;
  private final Consumer<HistoryEvent> history;
  private final List<ArrayDeque<Channel>> idle = new ArrayList<>();
  private final CompletableFuture<Void> done = new CompletableFuture<>();
  private List<RequestArrival> arrivals;
  private long startNanos;
  private int next;
  private int open;

  /**
   * Nothing is sent yet.
   *
   * @param addressOf where the front reaches a node, by number; asked for each connection
   * @param history hears what was asked and answered, on the loop
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
    for (int i = 0; i < behavior.nodes(); i++) {
      idle.add(new ArrayDeque<>());
    }
  }

  /** Sends all at their times from now on; completes when each has ended. */
  public CompletableFuture<Void> sendAll(List<RequestArrival> all) {
    loop.execute(
        () -> {
          arrivals = all;
          startNanos = System.nanoTime();
          loop.schedule(this::checkHealth, HEALTH_CHECK_MILLIS, TimeUnit.MILLISECONDS);
          send();
        });
    return done;
  }

  private void send() {
    long now = System.nanoTime() - startNanos;
    while (next < arrivals.size() && arrivals.get(next).at() <= now) {
      open++;
      new ClientAttempt(behavior.first(arrivals.get(next++), System.nanoTime())).start();
    }
    if (next < arrivals.size()) {
      loop.schedule(this::send, arrivals.get(next).at() - now, TimeUnit.NANOSECONDS);
    } else if (open == 0) {
      done.complete(null);
    }
  }

  private void checkHealth() {
    for (int i = 0; i < behavior.nodes(); i++) {
      if (behavior.front().needsHealthCheck(i)) {
        int node = i;
        connect(node, new HealthCheck(node));
      }
    }
    if (!done.isDone()) {
      loop.schedule(this::checkHealth, HEALTH_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private ChannelFuture connect(int node, SimpleChannelInboundHandler<FullHttpResponse> user) {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel made) {
                made.pipeline()
                    .addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), user);
              }
            })
        .connect(addressOf.apply(node));
  }

  /** What {@code Retry-After} says, in nanoseconds; 0 if nothing that can be used. */
  private static long retryAfterNanos(FullHttpResponse answer) {
    try {
      double seconds = Double.parseDouble(answer.headers().get(HttpHeaderNames.RETRY_AFTER, "0"));
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

  /** One look at a node's health, on a connection of its own. */
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
        behavior.front().healthy(node);
      }
      context.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }

  /** A connection: it carries one try after another. */
  private final class ClientConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final int node;
    private ClientAttempt current;

    ClientConnection(int node, ClientAttempt first) {
      this.node = node;
      current = first;
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

  /** One request on its way. */
  private final class ClientAttempt {
    private final ClientRequest request;
    private final int node;
    private Channel channel;
    private boolean reused;
    private boolean ended;

    ClientAttempt(ClientRequest request) {
      this.request = request;
      node = request.node();
    }

    void start() {
      Channel free = idle.get(node).poll();
      if (free != null) {
        reused = true;
        free.pipeline().get(ClientConnection.class).current = this;
        write(free);
      } else {
        open();
      }
    }

    private void open() {
      connect(node, new ClientConnection(node, this))
          .addListener(
              (ChannelFutureListener)
                  made -> {
                    if (made.isSuccess()) {
                      write(made.channel());
                    } else {
                      behavior.front().connectRefused(System.nanoTime(), node);
                      if (request.sent()) {
                        // Written once to a connection that was closed already, and nobody is there
                        // now.
                        history.accept(
                            new HistoryEvent.ClientDisconnected(System.nanoTime(), request.id()));
                      }
                      scheduleRetry(0);
                      end();
                    }
                  });
    }

    private void write(Channel to) {
      channel = to;
      long now = System.nanoTime();
      if (request.markSent(now)) {
        loop.schedule(
            this::giveUp,
            request.deadlineNanos() - now + ClientBehavior.LATE_RESPONSE_WAIT_NANOS,
            TimeUnit.NANOSECONDS);
      }
      boolean hasIdempotencyKey = request.requestClass().keyed();
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
      to.writeAndFlush(message);
    }

    void responseReceived(int status, long retryAfterNanos) {
      history.accept(new HistoryEvent.ResponseReceived(System.nanoTime(), request.id(), status));
      if (status != STATUS_OK) {
        scheduleRetry(retryAfterNanos);
      }
      end();
    }

    /** Asks again after a pause, if it may. */
    private void scheduleRetry(long retryAfterNanos) {
      long delayNanos = ended ? -1 : request.retryDelayNanos(System.nanoTime(), retryAfterNanos);
      if (delayNanos >= 0) {
        open++;
        loop.schedule(
            () -> new ClientAttempt(request.nextAttempt(System.nanoTime())).start(),
            delayNanos,
            TimeUnit.NANOSECONDS);
      }
    }

    /**
     * The close of an idle connection may have crossed the request: that is sent once more on a new
     * one (protocol).
     */
    void connectionBroken() {
      if (reused && !ended) {
        reused = false;
        open();
        return;
      }
      if (!ended) {
        history.accept(new HistoryEvent.ConnectionBroken(System.nanoTime(), request.id()));
        scheduleRetry(0);
      }
      end();
    }

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
        open--;
        if (open == 0 && next == arrivals.size()) {
          done.complete(null);
        }
      }
    }
  }
}

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
  private static final long MS = 1_000_000L;
  private static final double SECOND = 1e9;
  private static final int MOST_BODY = 1 << 16;
  private static final int CONNECT_MS = 1_000;
  private static final int HEALTH_MS = 100;
  private static final int OK = 200;
  private static final String HEALTH = "/_health";

  private final EventLoop loop;
  private final IntFunction<InetSocketAddress> door;
  private final ClientBehavior asking;
  private final Consumer<HistoryEvent> history;
  private final List<ArrayDeque<Channel>> idle = new ArrayList<>();
  private final CompletableFuture<Void> done = new CompletableFuture<>();
  private List<RequestArrival> arrivals;
  private long begun;
  private int next;
  private int open;

  /**
   * Nothing is sent yet.
   *
   * @param door where the front reaches a node, by number; asked for each connection
   * @param history hears what was asked and answered, on the loop
   */
  public HttpClients(
      EventLoop loop,
      IntFunction<InetSocketAddress> door,
      ClientBehavior asking,
      Consumer<HistoryEvent> history) {
    this.loop = loop;
    this.door = door;
    this.asking = asking;
    this.history = history;
    for (int i = 0; i < asking.nodes(); i++) {
      idle.add(new ArrayDeque<>());
    }
  }

  /** Sends all at their times from now on; completes when each has ended. */
  public CompletableFuture<Void> play(List<RequestArrival> all) {
    loop.execute(
        () -> {
          arrivals = all;
          begun = System.nanoTime();
          loop.schedule(this::askHealth, HEALTH_MS, TimeUnit.MILLISECONDS);
          send();
        });
    return done;
  }

  private void send() {
    long now = System.nanoTime() - begun;
    while (next < arrivals.size() && arrivals.get(next).at() <= now) {
      open++;
      new ClientAttempt(asking.first(arrivals.get(next++), System.nanoTime())).start();
    }
    if (next < arrivals.size()) {
      loop.schedule(this::send, arrivals.get(next).at() - now, TimeUnit.NANOSECONDS);
    } else if (open == 0) {
      done.complete(null);
    }
  }

  private void askHealth() {
    for (int i = 0; i < asking.nodes(); i++) {
      if (asking.front().doubted(i)) {
        int node = i;
        connect(node, new HealthCheck(node));
      }
    }
    if (!done.isDone()) {
      loop.schedule(this::askHealth, HEALTH_MS, TimeUnit.MILLISECONDS);
    }
  }

  private ChannelFuture connect(int node, SimpleChannelInboundHandler<FullHttpResponse> user) {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel made) {
                made.pipeline()
                    .addLast(new HttpClientCodec(), new HttpObjectAggregator(MOST_BODY), user);
              }
            })
        .connect(door.apply(node));
  }

  /** What {@code Retry-After} says, in nanoseconds; 0 if nothing that can be used. */
  private static long advice(FullHttpResponse answer) {
    try {
      double seconds = Double.parseDouble(answer.headers().get(HttpHeaderNames.RETRY_AFTER, "0"));
      return seconds > 0 ? (long) Math.min(Long.MAX_VALUE, seconds * SECOND) : 0;
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
      context.writeAndFlush(request(HttpMethod.GET, HEALTH));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
      if (answer.status().code() == OK) {
        asking.front().healthy(node);
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
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
      ClientAttempt answered = current;
      current = null;
      if (HttpUtil.isKeepAlive(answer)) {
        idle.get(node).push(context.channel());
      } else {
        context.close();
      }
      if (answered != null) {
        answered.answered(answer.status().code(), advice(answer));
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      idle.get(node).remove(context.channel());
      if (current != null) {
        current.broken();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }

  /** One request on its way. */
  private final class ClientAttempt {
    private final ClientRequest ask;
    private final int node;
    private Channel on;
    private boolean reused;
    private boolean over;

    ClientAttempt(ClientRequest ask) {
      this.ask = ask;
      node = ask.node();
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
                      asking.front().refused(System.nanoTime(), node);
                      if (ask.asked()) {
                        // Written once to a connection that was closed already, and nobody is there
                        // now.
                        history.accept(
                            new HistoryEvent.ClientDisconnected(System.nanoTime(), ask.id()));
                      }
                      again(0);
                      end();
                    }
                  });
    }

    private void write(Channel to) {
      on = to;
      long now = System.nanoTime();
      if (ask.write(now)) {
        loop.schedule(
            this::leave, ask.deadline() - now + ClientBehavior.LINGER, TimeUnit.NANOSECONDS);
      }
      boolean keyed = ask.requestClass().keyed();
      DefaultFullHttpRequest request = request(keyed ? HttpMethod.POST : HttpMethod.GET, "/api");
      request
          .headers()
          .set("X-Trace-Id", ask.id())
          .set("X-Qos", ask.requestClass().name())
          .set("X-Plan", ask.plan().name())
          .set("Cookie", String.format(Locale.ROOT, "customer=%016x", ask.of().customer()))
          .set("X-Expires-In-Ms", Math.max(1, (ask.deadline() - now) / MS))
          .set("X-Quota", "units=1,spread=" + ask.spread() + ",first=" + ask.of().first());
      if (keyed) {
        request.headers().set("Idempotency-Key", "k" + ask.of().id());
      }
      history.accept(ask.event(now));
      to.writeAndFlush(request);
    }

    void answered(int status, long advice) {
      history.accept(new HistoryEvent.ResponseReceived(System.nanoTime(), ask.id(), status));
      if (status != OK) {
        again(advice);
      }
      end();
    }

    /** Asks again after a pause, if it may. */
    private void again(long advice) {
      long pause = over ? -1 : ask.pause(System.nanoTime(), advice);
      if (pause >= 0) {
        open++;
        loop.schedule(
            () -> new ClientAttempt(ask.again(System.nanoTime())).start(),
            pause,
            TimeUnit.NANOSECONDS);
      }
    }

    /**
     * The close of an idle connection may have crossed the request: that is sent once more on a new
     * one (protocol).
     */
    void broken() {
      if (reused && !over) {
        reused = false;
        open();
        return;
      }
      if (!over) {
        history.accept(new HistoryEvent.ConnectionBroken(System.nanoTime(), ask.id()));
        again(0);
      }
      end();
    }

    private void leave() {
      if (!over) {
        history.accept(new HistoryEvent.ClientDisconnected(System.nanoTime(), ask.id()));
        end();
        if (on != null) {
          on.close();
        }
      }
    }

    private void end() {
      if (!over) {
        over = true;
        open--;
        if (open == 0 && next == arrivals.size()) {
          done.complete(null);
        }
      }
    }
  }
}

package edgegateway.node.discovery;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.config.NodeConfig;
import edgegateway.node.connections.OutboundConnector;
import edgegateway.node.logging.EventLog;
import edgegateway.node.metrics.NodeMetrics;
import edgegateway.policy.api.EndpointListKind;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Follows the list of app servers on the sockets; when it is asked for, and whose word counts, is
 * for {@link WatchScheduler}.
 */
public final class DiscoveryClient implements WatchScheduler.Host {
  private static final EventLog LOG = EventLog.console();

  /**
   * A whole list of some 14,000 entries; the heap bears that beside what it has
   * (docs/design/discovery.md).
   */
  private static final int MOST_OBJECT = 2 << 20;

  /**
   * From this silence on the list may be older than what counts as told to this edge node
   * (protocol, Figures).
   */
  private static final long TOLD_MS = 6_000;

  private static final long PATIENCE_MS = 1_000;

  private final EndpointListListener listener;
  private final NodeMetrics metrics;
  private final EventLoop loop;
  private final NodeConfig.SettingNames names;
  private final Bootstrap bootstrap;
  private final WatchScheduler watches;
  private final Map<WatchScheduler.Watch, Channel> channels = new HashMap<>();
  private final CompletableFuture<Void> first = new CompletableFuture<>();
  private InetSocketAddress address;
  private boolean deaf;
  private ScheduledFuture<?> overdue;

  public DiscoveryClient(
      EndpointListListener listener, NodeMetrics metrics, EventLoop loop, NodeConfig config) {
    this.listener = listener;
    this.metrics = metrics;
    this.loop = loop;
    names = config.names();
    address = config.discovery();
    watches = new WatchScheduler(this, config.seed());
    bootstrap =
        new Bootstrap()
            .group(loop)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                (int) TimeUnit.NANOSECONDS.toMillis(WatchScheduler.ANSWER));
  }

  public void start(long known) {
    metrics.discoveryHeard();
    // A discovery that is down must not keep the edge node from serving by the list it has.
    loop.schedule(() -> first.complete(null), PATIENCE_MS, TimeUnit.MILLISECONDS);
    watches.start(System.nanoTime(), known);
    loop.scheduleAtFixedRate(
        this::look, WatchScheduler.LOOK, WatchScheduler.LOOK, TimeUnit.NANOSECONDS);
  }

  /** Ends when a first message has come, or has been waited for long enough; any thread. */
  public CompletableFuture<Void> first() {
    return first;
  }

  /** Whether a first message has come, or has been waited for long enough; any thread. */
  public boolean heard() {
    return first.isDone();
  }

  /** The version of the list that is held; on the loop only. */
  public long revision() {
    return watches.revision();
  }

  /**
   * Goes on at another address at once; what the old one says until the new one speaks is still
   * heard.
   */
  public void move(InetSocketAddress to) {
    System.out.println("discovery is followed from " + address + " to " + to);
    address = to;
    watches.move(System.nanoTime());
  }

  private void look() {
    long now = System.nanoTime();
    if (!watches.sound(now)
        && metrics.discoverySilence() >= TimeUnit.NANOSECONDS.toMillis(WatchScheduler.SILENCE)) {
      missed();
    }
    watches.look(now);
  }

  /** Told once: a discovery that is down is asked over and over. */
  private void missed() {
    if (!deaf) {
      deaf = true;
      System.out.println(
          "discovery's watch at " + address + " ended at revision " + watches.revision());
      tellSilence(TOLD_MS);
    }
  }

  /** Says that no word came for {@code span} ms, when that is so, and again at twice as long. */
  private void tellSilence(long span) {
    overdue =
        loop.schedule(
            () -> {
              System.out.println(
                  "discovery has not been heard for "
                      + metrics.discoverySilence()
                      + " ms, last asked at "
                      + address
                      + ": the list stays at revision "
                      + watches.revision());
              tellSilence(2 * span);
            },
            span - metrics.discoverySilence(),
            TimeUnit.MILLISECONDS);
  }

  private void heardAgain() {
    if (deaf) {
      deaf = false;
      overdue.cancel(false);
      System.out.println("discovery is heard again after " + metrics.discoverySilence() + " ms");
    }
    metrics.discoveryHeard();
  }

  @Override
  public void open(WatchScheduler.Watch watch) {
    Channel channel;
    try {
      channel =
          OutboundConnector.connect(
                  bootstrap
                      .clone()
                      .handler(
                          new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel made) {
                              made.pipeline().addLast(new HttpClientCodec(), new Reader(watch));
                            }
                          }),
                  address)
              .channel();
    } catch (IOException e) {
      LOG.warn("discovery_connection_not_opened", field("error", e));
      listener.descriptorsExhausted();
      loop.execute(() -> ended(watch));
      return;
    }
    channels.put(watch, channel);
    channel.closeFuture().addListener(closed -> ended(watch));
  }

  @Override
  public void close(WatchScheduler.Watch watch) {
    Channel channel = channels.remove(watch);
    if (channel != null) {
      channel.close();
    }
  }

  private void ended(WatchScheduler.Watch watch) {
    channels.remove(watch);
    if (watch.isOpen()) {
      watches.ended(System.nanoTime(), watch);
      if (!watches.sound(System.nanoTime())) {
        missed();
      }
    }
  }

  /** One watch: a chunked answer of JSON objects, with an empty line each 2 s. */
  private final class Reader extends SimpleChannelInboundHandler<HttpObject> {
    private final WatchScheduler.Watch watch;
    private final JsonObjectSplitter objects =
        new JsonObjectSplitter(MOST_OBJECT, this::read, this::emptyLine);
    private boolean ended;

    Reader(WatchScheduler.Watch watch) {
      this.watch = watch;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              HttpMethod.GET,
              "/catalog/members?watch=1&after=" + watches.revision());
      request.headers().set(HttpHeaderNames.HOST, "discovery");
      context.writeAndFlush(request);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
      // The rest of what was read goes on arriving after a close: the body of an error is no list.
      ended |=
          !watch.isOpen()
              || part.decoderResult().isFailure()
              || part instanceof HttpResponse response && response.status().code() != 200;
      if (!ended && part instanceof HttpContent content) {
        objects.next(ByteBufUtil.getBytes(content.content()));
      }
      if (ended || part instanceof LastHttpContent) {
        context.close();
      }
    }

    private void emptyLine() {
      if (watches.heard(System.nanoTime(), watch)) {
        heardAgain();
      }
    }

    private void read(String text) {
      NodeConfig.EndpointList roll;
      try {
        roll = NodeConfig.roll(text, names);
      } catch (NodeConfig.InvalidConfigException e) {
        throw new IllegalArgumentException(e.getMessage(), e);
      }
      if (watches.takes(System.nanoTime(), watch, roll.revision(), roll.complete())) {
        heardAgain();
        listener.endpointListReceived(
            roll, roll.complete() ? EndpointListKind.FULL : EndpointListKind.DELTA);
        first.complete(null);
      } else if (!watch.isOpen()) {
        System.out.println(
            "discovery's list of revision " + roll.revision() + " is older than the one held");
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      LOG.warn("discovery_stream_failed", field("error", cause));
      context.close();
    }
  }
}

package edgegateway.node.discovery;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.config.NodeConfig;
import edgegateway.node.connections.OutboundConnector;
import edgegateway.node.logging.EventLog;
import edgegateway.node.metrics.NodeMetrics;
import edgegateway.policy.api.EndpointListKind;
import edgegateway.protocol.EndpointList;
import edgegateway.protocol.SettingNames;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpClientCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Follows the endpoint list of discovery over HTTP. When discovery is polled, and which watch is
 * followed, is decided by {@link WatchScheduler}; this class owns the connections.
 *
 * <p>Methods are for the event loop's thread unless they say otherwise.
 */
public final class DiscoveryClient
    implements WatchTransport, WatchEventListener, DiscoverySilenceLog.WatchStatus {
  private static final EventLog LOG = EventLog.console();

  /** Discovery that is down must not keep the node from serving by the list it has. */
  private static final long FIRST_MESSAGE_TIMEOUT_MILLIS = 1_000;

  private final EndpointListListener listener;
  private final NodeMetrics metrics;
  private final EventLoop loop;
  private final SettingNames names;
  private final Bootstrap bootstrap;
  private final WatchScheduler scheduler;
  private final DiscoverySilenceLog silenceLog;
  private final Map<WatchScheduler.Watch, Channel> channels = new HashMap<>();
  private final CompletableFuture<Void> firstMessage = new CompletableFuture<>();
  private InetSocketAddress address;

  /** Connects from {@link #start} on. */
  public DiscoveryClient(
      EndpointListListener listener, NodeMetrics metrics, EventLoop loop, NodeConfig config) {
    this.listener = listener;
    this.metrics = metrics;
    this.loop = loop;
    names = config.names();
    address = config.discovery();
    scheduler = new WatchScheduler(this, config.seed());
    silenceLog = new DiscoverySilenceLog(loop, metrics, this);
    bootstrap =
        new Bootstrap()
            .group(loop)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                (int) TimeUnit.NANOSECONDS.toMillis(WatchScheduler.WATCH_RESPONSE_TIMEOUT_NANOS));
  }

  /** Opens the first watch, for what comes after the revision that is held. */
  public void start(long heldRevision) {
    metrics.discoveryMessageReceived();
    loop.schedule(
        () -> firstMessage.complete(null), FIRST_MESSAGE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    scheduler.start(System.nanoTime(), heldRevision);
    loop.scheduleAtFixedRate(
        this::poll,
        WatchScheduler.POLL_INTERVAL_NANOS,
        WatchScheduler.POLL_INTERVAL_NANOS,
        TimeUnit.NANOSECONDS);
  }

  /** Completes when a first list has come, or has been waited for long enough; any thread. */
  public CompletableFuture<Void> firstMessage() {
    return firstMessage;
  }

  /** Whether a first list has come, or has been waited for long enough; any thread. */
  public boolean hasStarted() {
    return firstMessage.isDone();
  }

  /** The revision of the list that is held. */
  @Override
  public long revision() {
    return scheduler.revision();
  }

  /** Where discovery is watched. */
  @Override
  public InetSocketAddress address() {
    return address;
  }

  /**
   * Watches another address at once; events of the old one are accepted until the new one responds.
   */
  public void changeAddress(InetSocketAddress newAddress) {
    LOG.info("discovery_address_changed", field("from", address), field("to", newAddress));
    address = newAddress;
    scheduler.addressChanged(System.nanoTime());
  }

  private void poll() {
    long now = System.nanoTime();
    long silenceNanos = TimeUnit.MILLISECONDS.toNanos(metrics.millisSinceDiscoveryMessage());
    if (!scheduler.isResponsive(now)
        && silenceNanos >= WatchScheduler.WATCH_SILENCE_TIMEOUT_NANOS) {
      silenceLog.watchLost();
    }
    scheduler.poll(now);
  }

  @Override
  public void open(WatchScheduler.Watch watch) {
    Channel channel;
    try {
      channel =
          OutboundConnector.connect(bootstrap.clone().handler(pipeline(watch)), address).channel();
    } catch (IOException e) {
      LOG.warn("discovery_connection_not_opened", field("address", address), field("error", e));
      listener.descriptorsExhausted();
      loop.execute(() -> watchClosed(watch));
      return;
    }
    channels.put(watch, channel);
    channel.closeFuture().addListener(closed -> watchClosed(watch));
  }

  private ChannelInitializer<Channel> pipeline(WatchScheduler.Watch watch) {
    WatchHandler handler = new WatchHandler(watch, address, names, this);
    return new ChannelInitializer<Channel>() {
      @Override
      protected void initChannel(Channel created) {
        created.pipeline().addLast(new HttpClientCodec(), handler);
      }
    };
  }

  @Override
  public void close(WatchScheduler.Watch watch) {
    Channel channel = channels.remove(watch);
    if (channel != null) {
      channel.close();
    }
  }

  private void watchClosed(WatchScheduler.Watch watch) {
    channels.remove(watch);
    if (watch.isOpen()) {
      scheduler.watchClosed(System.nanoTime(), watch);
      if (!scheduler.isResponsive(System.nanoTime())) {
        silenceLog.watchLost();
      }
    }
  }

  @Override
  public void keepAliveReceived(WatchScheduler.Watch watch) {
    if (scheduler.eventReceived(System.nanoTime(), watch)) {
      eventAccepted();
    }
  }

  @Override
  public void listReceived(WatchScheduler.Watch watch, EndpointList list) {
    long now = System.nanoTime();
    if (scheduler.listReceived(now, watch, list.revision(), list.complete())) {
      eventAccepted();
      listener.endpointListReceived(
          list, list.complete() ? EndpointListKind.FULL : EndpointListKind.DELTA);
      firstMessage.complete(null);
    } else if (!watch.isOpen()) {
      LOG.info("discovery_list_stale", field("revision", list.revision()));
    }
  }

  private void eventAccepted() {
    silenceLog.eventReceived();
    metrics.discoveryMessageReceived();
  }
}

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
 * Keeps the node's endpoint list up to date by watching discovery over HTTP. {@link WatchScheduler}
 * decides when a watch is opened and whose events are accepted; this class owns the connections.
 *
 * <p>Methods must be called on the event loop unless documented as thread-safe.
 */
public final class DiscoveryClient
    implements WatchTransport, WatchEventListener, DiscoveryOutageLog.WatchStatus {
  private static final EventLog LOG = EventLog.console();

  /** Bounds the wait for a first list: without discovery, a node serves with its cached list. */
  private static final long INITIALIZATION_TIMEOUT_MILLIS = 1_000;

  private final EndpointListListener listener;
  private final NodeMetrics metrics;
  private final EventLoop loop;
  private final SettingNames names;
  private final Bootstrap bootstrap;
  private final WatchScheduler scheduler;
  private final DiscoveryOutageLog outageLog;
  private final Map<WatchScheduler.Watch, Channel> channels = new HashMap<>();
  private final CompletableFuture<Void> initialization = new CompletableFuture<>();
  private InetSocketAddress address;

  /** Opens no connection before {@link #start}. */
  public DiscoveryClient(
      EndpointListListener listener, NodeMetrics metrics, EventLoop loop, NodeConfig config) {
    this.listener = listener;
    this.metrics = metrics;
    this.loop = loop;
    names = config.names();
    address = config.discovery();
    scheduler = new WatchScheduler(this, config.seed());
    outageLog = new DiscoveryOutageLog(loop, metrics, this);
    bootstrap =
        new Bootstrap()
            .group(loop)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                (int) TimeUnit.NANOSECONDS.toMillis(WatchScheduler.WATCH_RESPONSE_TIMEOUT_NANOS));
  }

  /**
   * Opens the first watch.
   *
   * @param currentRevision revision of the node's cached list; the watch reports later changes
   */
  public void start(long currentRevision) {
    metrics.discoveryMessageReceived();
    loop.schedule(
        () -> initialization.complete(null), INITIALIZATION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    scheduler.start(System.nanoTime(), currentRevision);
    loop.scheduleAtFixedRate(
        this::checkWatches,
        WatchScheduler.CHECK_INTERVAL_NANOS,
        WatchScheduler.CHECK_INTERVAL_NANOS,
        TimeUnit.NANOSECONDS);
  }

  /** Completes when the first list is received, or after a timeout without one. Thread-safe. */
  public CompletableFuture<Void> initialization() {
    return initialization;
  }

  /** Whether {@link #initialization()} has completed. Thread-safe. */
  public boolean isInitialized() {
    return initialization.isDone();
  }

  /** Revision of the node's current list. */
  @Override
  public long revision() {
    return scheduler.revision();
  }

  /** Current address of discovery. */
  @Override
  public InetSocketAddress address() {
    return address;
  }

  /**
   * Opens a watch at the new address at once. Events from the old address are accepted until the
   * new address responds.
   */
  public void changeAddress(InetSocketAddress newAddress) {
    LOG.info("discovery_address_changed", field("from", address), field("to", newAddress));
    address = newAddress;
    scheduler.addressChanged(System.nanoTime());
  }

  private void checkWatches() {
    long now = System.nanoTime();
    long nanosSinceLastEvent = TimeUnit.MILLISECONDS.toNanos(metrics.millisSinceDiscoveryMessage());
    if (!scheduler.hasResponsiveWatch(now)
        && nanosSinceLastEvent >= WatchScheduler.WATCH_IDLE_TIMEOUT_NANOS) {
      outageLog.watchLost();
    }
    scheduler.openWatchIfDue(now);
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
      if (!scheduler.hasResponsiveWatch(System.nanoTime())) {
        outageLog.watchLost();
      }
    }
  }

  @Override
  public void bytesReceived(WatchScheduler.Watch watch) {
    scheduler.bytesReceived(System.nanoTime(), watch);
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
      initialization.complete(null);
    } else if (!watch.isOpen()) {
      LOG.info("discovery_list_stale", field("revision", list.revision()));
    }
  }

  private void eventAccepted() {
    outageLog.eventReceived();
    metrics.discoveryMessageReceived();
  }
}

package edgegateway.node.upstream;

import edgegateway.node.config.NodeConfig;
import edgegateway.node.connections.BufferedBodies;
import edgegateway.node.connections.ConnectionMetrics;
import edgegateway.node.connections.DescriptorBudget;
import edgegateway.node.connections.Upstream;
import edgegateway.node.connections.UpstreamConnectionTable;
import edgegateway.node.metrics.NodeMetrics;
import edgegateway.node.requests.AttemptListener;
import edgegateway.node.requests.BodyRelay;
import edgegateway.node.requests.InFlightRequest;
import edgegateway.policy.api.EndpointState;
import edgegateway.policy.api.RequestClass;
import edgegateway.protocol.EndpointEntry;
import edgegateway.protocol.EndpointList;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The upstream side of the node: a connection pool for each endpoint in the endpoint list, on which
 * attempts are started. {@link Upstream} decides which connection an attempt gets and whether a new
 * one is opened, within the limits of {@link UpstreamConnectionTable}. Not thread-safe: used on the
 * event loop's thread only.
 */
public final class UpstreamPool {
  /** A longer response body is streamed to the client instead of being buffered completely. */
  public static final int MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024;

  private static final long EXPIRY_CHECK_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final UpstreamContext context;
  private final UpstreamConnector connector;
  private final UpstreamConnectionTable connections;
  private final Map<String, ListedEndpoint> endpoints = new HashMap<>();
  private final long slowStartNanos;
  private final List<RequestClass> requestClasses;

  /** Creates a pool without endpoints; it opens no connection until an attempt needs one. */
  public UpstreamPool(
      AttemptListener listener,
      EventLoop loop,
      NodeConfig config,
      ConnectionMetrics connectionMetrics,
      NodeMetrics metrics,
      BufferedBodies bufferedBodies,
      BodyRelay.Group relays) {
    context = new UpstreamContext(listener, loop, metrics, bufferedBodies, relays);
    slowStartNanos = config.settings().rules().slowStartNanos();
    requestClasses = config.settings().requestClasses();
    connector = new UpstreamConnector(context, config.connectTimeoutNanos());
    connections =
        new UpstreamConnectionTable(
            connector, connectionMetrics, config.seed(), config.keepAliveNanos());
    loop.scheduleAtFixedRate(
        () -> connections.closeExpired(System.nanoTime()),
        EXPIRY_CHECK_INTERVAL_NANOS,
        EXPIRY_CHECK_INTERVAL_NANOS,
        TimeUnit.NANOSECONDS);
  }

  /** Creates the channel handlers of one connection to an archive server, in pipeline order. */
  public ChannelHandler[] handlers() {
    return connector.handlers();
  }

  /**
   * Adds an open connection to the pool of a listed endpoint, as idle. The channel must have the
   * {@link #handlers} of this pool.
   */
  public void adopt(String endpointId, Channel channel) {
    Upstream upstream = endpoints.get(endpointId).upstream();
    UpstreamConnector.handlerOf(channel).established(upstream.adopt(System.nanoTime()));
  }

  /**
   * Applies an endpoint list. Retires the connection pool of an endpoint that was removed, has
   * moved, has restarted or is terminating: otherwise an attempt that waits for a connection would
   * be sent after the endpoint started to drain. Tested by
   * RaceConditionsTest#anAttemptWaitingForATerminatingEndpointGoesElsewhere.
   *
   * @param complete whether endpoints that are not in the list are removed
   */
  public void updateEndpoints(EndpointList list, boolean complete) {
    Set<String> listedIds = new HashSet<>();
    for (EndpointEntry entry : list.entries()) {
      listedIds.add(entry.endpoint().id());
      updateEndpoint(entry);
    }
    if (complete) {
      removeUnlisted(listedIds);
    }
  }

  private void updateEndpoint(EndpointEntry entry) {
    String id = entry.endpoint().id();
    ListedEndpoint known = endpoints.get(id);
    boolean removed = entry.endpoint().state() == EndpointState.REMOVED;
    boolean keepsConnections = known != null && known.canKeepConnections(entry);
    if (known != null && (removed || !keepsConnections)) {
      known.upstream().retire();
      endpoints.remove(id);
    }
    if (!removed && !keepsConnections) {
      addEndpoint(entry);
    }
  }

  private void addEndpoint(EndpointEntry entry) {
    long startedAtNanos = entry.endpoint().startedAtNanos();
    boolean slowStart =
        startedAtNanos > 0 && context.listener().nowNanos() - startedAtNanos < slowStartNanos;
    Upstream upstream = connections.createUpstream(entry.address(), slowStart);
    ListedEndpoint added = new ListedEndpoint(entry, upstream);
    endpoints.put(entry.endpoint().id(), added);
    if (!added.isReady()) {
      upstream.retire();
    }
  }

  private void removeUnlisted(Set<String> listedIds) {
    Iterator<Map.Entry<String, ListedEndpoint>> iterator = endpoints.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<String, ListedEndpoint> next = iterator.next();
      if (!listedIds.contains(next.getKey())) {
        next.getValue().upstream().retire();
        iterator.remove();
      }
    }
  }

  /**
   * Starts an attempt. Its end is reported to the {@link AttemptListener}, possibly from within
   * this call.
   */
  public void send(InFlightRequest request, String endpointId, long timeoutNanos) {
    ListedEndpoint endpoint = endpoints.get(endpointId);
    Upstream upstream = endpoint == null ? null : endpoint.upstream();
    RequestClass requestClass = requestClasses.get(request.request.requestClass());
    new UpstreamAttempt(context, request, requestClass, endpointId, timeoutNanos, upstream).start();
  }

  /** Applies a new budget; closes idle connections that exceed it. */
  public void applyBudget(DescriptorBudget budget) {
    connections.applyBudget(budget);
  }

  /** The number of listed endpoints. */
  public int endpointCount() {
    return endpoints.size();
  }

  /**
   * Called when an operator ejected an endpoint: ends the attempts that wait for one of its
   * connections, so that they can go to another endpoint, and closes its idle connections.
   */
  public void endpointEjected(String endpointId) {
    ListedEndpoint endpoint = endpoints.get(endpointId);
    if (endpoint != null) {
      endpoint.upstream().rejectWaitersAndCloseIdle();
    }
  }
}

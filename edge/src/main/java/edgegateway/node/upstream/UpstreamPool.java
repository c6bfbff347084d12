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
 * The archive servers' side of the node: follows the endpoint list and begins attempts. Which
 * connection an attempt gets, and whether a new one is opened, is decided by {@link
 * UpstreamConnectionTable}. All methods are for the event loop's thread.
 */
public final class UpstreamPool {
  /** The longest body that is buffered completely. */
  public static final int MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024;

  private static final long EXPIRY_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final UpstreamContext context;
  private final UpstreamConnector connector;
  private final UpstreamConnectionTable connections;
  private final Map<String, ListedEndpoint> endpoints = new HashMap<>();
  private final long slowStartNanos;
  private final List<RequestClass> requestClasses;

  /** Connects to no endpoint before an attempt needs it. */
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
        EXPIRY_PERIOD_NANOS,
        EXPIRY_PERIOD_NANOS,
        TimeUnit.NANOSECONDS);
  }

  /** New handlers for one connection to an archive server, first to last. */
  public ChannelHandler[] handlers() {
    return connector.handlers();
  }

  /** Takes over an open connection that has these {@link #handlers}, to a listed endpoint. */
  public void adopt(String endpointId, Channel channel) {
    Upstream upstream = endpoints.get(endpointId).upstream();
    UpstreamConnector.handlerOf(channel).established(upstream.adopt(System.nanoTime()));
  }

  /**
   * Follows the endpoint list. Connections to what is removed, has moved, has restarted or
   * terminates are of no more use: an attempt that waits for one would be sent after the endpoint
   * started to drain. Shown by
   * RaceConditionsTest#anAttemptWaitingForATerminatingEndpointGoesElsewhere.
   *
   * @param complete whether endpoints that the list does not name are removed
   */
  public void updateEndpoints(EndpointList list, boolean complete) {
    Set<String> named = new HashSet<>();
    for (EndpointEntry entry : list.entries()) {
      named.add(entry.endpoint().id());
      updateEndpoint(entry);
    }
    if (complete) {
      removeAllBut(named);
    }
  }

  private void updateEndpoint(EndpointEntry entry) {
    String id = entry.endpoint().id();
    ListedEndpoint known = endpoints.get(id);
    boolean removed = entry.endpoint().state() == EndpointState.REMOVED;
    boolean unchanged = known != null && known.hasSameConnections(entry);
    if (known != null && (removed || !unchanged)) {
      known.upstream().retire();
      endpoints.remove(id);
    }
    if (!removed && !unchanged) {
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

  private void removeAllBut(Set<String> named) {
    Iterator<Map.Entry<String, ListedEndpoint>> known = endpoints.entrySet().iterator();
    while (known.hasNext()) {
      Map.Entry<String, ListedEndpoint> next = known.next();
      if (!named.contains(next.getKey())) {
        next.getValue().upstream().retire();
        known.remove();
      }
    }
  }

  /** Begins an attempt; its end is reported later, never from within this call. */
  public void send(InFlightRequest request, String endpointId, long timeoutNanos) {
    ListedEndpoint endpoint = endpoints.get(endpointId);
    Upstream upstream = endpoint == null ? null : endpoint.upstream();
    RequestClass requestClass = requestClasses.get(request.request.requestClass());
    new UpstreamAttempt(context, request, requestClass, endpointId, timeoutNanos, upstream).start();
  }

  /** Follows a new budget; idle connections beyond it are closed. */
  public void applyBudget(DescriptorBudget budget) {
    connections.applyBudget(budget);
  }

  /** How many endpoints the list holds. */
  public int endpointCount() {
    return endpoints.size();
  }

  /**
   * An operator ejected it: attempts that wait for it go elsewhere, idle connections are closed.
   */
  public void endpointEjected(String endpointId) {
    ListedEndpoint endpoint = endpoints.get(endpointId);
    if (endpoint != null) {
      endpoint.upstream().rejectWaitersAndCloseIdle();
    }
  }
}

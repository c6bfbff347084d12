package edgegateway.node;

import edgegateway.node.discovery.EndpointListListener;
import edgegateway.node.metrics.NodeMetrics;
import edgegateway.node.upstream.UpstreamPool;
import edgegateway.policy.api.EndpointListKind;
import edgegateway.protocol.EndpointEntry;
import edgegateway.protocol.EndpointList;

/** Tells the upstream side and the policy of each endpoint list; for the event loop's thread. */
final class EndpointListUpdater implements EndpointListListener {
  private final PolicyEventLoop policyEvents;
  private final UpstreamPool upstreamPool;
  private final NodeMetrics metrics;
  private final Runnable onDescriptorsExhausted;

  EndpointListUpdater(
      PolicyEventLoop policyEvents,
      UpstreamPool upstreamPool,
      NodeMetrics metrics,
      Runnable onDescriptorsExhausted) {
    this.policyEvents = policyEvents;
    this.upstreamPool = upstreamPool;
    this.metrics = metrics;
    this.onDescriptorsExhausted = onDescriptorsExhausted;
  }

  /** Addresses first: the policy may send at once to an endpoint that it hears of. */
  @Override
  public void endpointListReceived(EndpointList list, EndpointListKind kind) {
    long readNanos = System.nanoTime();
    upstreamPool.updateEndpoints(list, kind != EndpointListKind.DELTA);
    policyEvents.run(
        (policy, now) -> {
          metrics.discoveryMessageApplied(System.nanoTime() - readNanos);
          policy.endpointsUpdated(
              now, kind, list.entries().stream().map(EndpointEntry::endpoint).toList());
        });
  }

  @Override
  public void descriptorsExhausted() {
    onDescriptorsExhausted.run();
  }
}

package edgegateway.node;

import edgegateway.node.discovery.EndpointListListener;
import edgegateway.node.metrics.NodeMetrics;
import edgegateway.node.upstream.UpstreamPool;
import edgegateway.policy.api.EndpointListKind;
import edgegateway.protocol.EndpointEntry;
import edgegateway.protocol.EndpointList;

/** Applies each endpoint list to the upstream pool and the policy, on the event loop's thread. */
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

  /**
   * Updates the addresses before the policy, because the policy may at once send an attempt to a
   * new endpoint.
   */
  @Override
  public void endpointListReceived(EndpointList list, EndpointListKind kind) {
    long receivedNanos = System.nanoTime();
    upstreamPool.updateEndpoints(list, kind != EndpointListKind.DELTA);
    policyEvents.run(
        (policy, now) -> {
          metrics.discoveryMessageApplied(System.nanoTime() - receivedNanos);
          policy.endpointsUpdated(
              now, kind, list.entries().stream().map(EndpointEntry::endpoint).toList());
        });
  }

  @Override
  public void descriptorsExhausted() {
    onDescriptorsExhausted.run();
  }
}

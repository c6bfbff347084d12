package edgegateway.node.upstream;

import edgegateway.node.connections.BufferedBodies;
import edgegateway.node.metrics.NodeMetrics;
import edgegateway.node.requests.AttemptListener;
import edgegateway.node.requests.BodyRelay;
import io.netty.channel.EventLoop;

/** What all attempts and connections of the upstream side share. */
record UpstreamContext(
    AttemptListener listener,
    EventLoop loop,
    NodeMetrics metrics,
    BufferedBodies bufferedBodies,
    BodyRelay.Group relays) {}

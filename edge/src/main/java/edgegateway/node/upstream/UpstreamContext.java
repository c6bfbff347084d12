package edgegateway.node.upstream;

import edgegateway.node.connections.BufferedBodies;
import edgegateway.node.metrics.NodeMetrics;
import edgegateway.node.requests.AttemptListener;
import edgegateway.node.requests.BodyRelay;
import io.netty.channel.EventLoop;

/** Objects shared by all upstream attempts and connections of a node. */
record UpstreamContext(
    AttemptListener listener,
    EventLoop loop,
    NodeMetrics metrics,
    BufferedBodies bufferedBodies,
    BodyRelay.Group relays) {}

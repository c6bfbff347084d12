package edgegateway.node.upstream;

import edgegateway.node.connections.BufferedBodies;
import edgegateway.node.metrics.NodeMetrics;
import edgegateway.node.requests.AttemptListener;
import edgegateway.node.requests.BodyRelay;
import io.netty.channel.EventLoop;

/** Objects that all attempts and all connections to archive servers of a node share. */
record UpstreamContext(
    AttemptListener listener,
    EventLoop loop,
    NodeMetrics metrics,
    BufferedBodies bufferedBodies,
    BodyRelay.Group relays) {}

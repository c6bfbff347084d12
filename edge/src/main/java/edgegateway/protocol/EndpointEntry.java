package edgegateway.protocol;

import edgegateway.policy.api.Endpoint;
import java.net.InetSocketAddress;

/** An endpoint of discovery's list and the address at which this node reaches it. */
public record EndpointEntry(Endpoint endpoint, InetSocketAddress address) {}

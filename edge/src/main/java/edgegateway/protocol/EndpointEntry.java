package edgegateway.protocol;

import edgegateway.policy.api.Endpoint;
import java.net.InetSocketAddress;

/** An entry of discovery's endpoint list, with the address to connect to. */
public record EndpointEntry(Endpoint endpoint, InetSocketAddress address) {}

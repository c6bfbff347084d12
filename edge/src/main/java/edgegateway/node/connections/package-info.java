/** The life of connections on both sides: limits, time-outs, eviction, TLS. */
package edgegateway.node.connections;

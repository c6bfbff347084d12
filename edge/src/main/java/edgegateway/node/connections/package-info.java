/** Connections to clients and to archive servers: pools, limits, timeouts, eviction and TLS. */
package edgegateway.node.connections;

/** The client side of the proxy: accepts connections, reads requests and writes responses. */
package edgegateway.node.clients;

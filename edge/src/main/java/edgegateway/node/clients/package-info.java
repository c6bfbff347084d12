/** The clients' side: reads requests and writes responses. */
package edgegateway.node.clients;

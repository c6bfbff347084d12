/**
 * A request in flight, and the interfaces through which the client side and the upstream side of
 * the proxy report to the request table.
 */
package edgegateway.node.requests;

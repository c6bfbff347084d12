/** A request in flight, and the interfaces between the two sides of the proxy. */
package edgegateway.node.requests;

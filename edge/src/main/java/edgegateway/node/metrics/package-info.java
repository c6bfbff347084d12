/** What operators read of a node. */
package edgegateway.node.metrics;

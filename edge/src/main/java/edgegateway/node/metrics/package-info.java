/** The metrics that operators read from a node. */
package edgegateway.node.metrics;

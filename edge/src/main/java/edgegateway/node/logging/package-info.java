/** The node's log: levels, event names and key=value fields. */
package edgegateway.node.logging;

/** Signals, configuration changes, event-loop stalls and the class archive. */
package edgegateway.node.lifecycle;

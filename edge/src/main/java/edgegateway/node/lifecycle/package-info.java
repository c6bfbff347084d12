/** The process's surroundings: signals, configuration file, event-loop stalls, class archive. */
package edgegateway.node.lifecycle;

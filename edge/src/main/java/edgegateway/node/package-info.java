/** The edge node process: wiring of its components, start, upgrade and shutdown. */
package edgegateway.node;

/** Receives the list of archive servers from discovery. */
package edgegateway.node.discovery;

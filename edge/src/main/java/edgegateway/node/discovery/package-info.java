/** Follows discovery's list of archive servers. */
package edgegateway.node.discovery;

/** The upstream side of the proxy: attempts on pooled connections to archive servers. */
package edgegateway.node.upstream;

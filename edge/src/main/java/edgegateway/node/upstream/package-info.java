/** The archive servers' side: attempts on pooled connections. */
package edgegateway.node.upstream;

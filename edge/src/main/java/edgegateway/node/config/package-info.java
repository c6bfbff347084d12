/** What a node is configured with, and errors that name the key. */
package edgegateway.node.config;

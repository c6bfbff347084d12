/** The node's configuration, its parsers, and errors that name the invalid key. */
package edgegateway.node.config;

/**
 * Maps the names in discovery's messages and in the settings, which the node's configuration and
 * the simulator's wire share, to the terms of the code.
 */
package edgegateway.protocol;

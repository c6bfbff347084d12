/**
 * Runs the policies of many nodes in one process, connected to a simulator by a text protocol on
 * standard input and output.
 */
package edgegateway.simulator;

/**
 * The scale run over loopback: hollow edge nodes beside real processes, and stand-ins that bear
 * thousands of addresses.
 */
package edgegateway.testbed.scale.sockets;

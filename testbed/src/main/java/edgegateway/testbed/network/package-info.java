/**
 * The links between the parties of a fleet, and what is wrong with them ({@code
 * docs/design/testbed.md}).
 */
package edgegateway.testbed.network;

/**
 * Edge nodes as processes of their own, begun as the deploy file says ({@code
 * docs/design/testbed.md}).
 */
package edgegateway.testbed.processes;

/**
 * Edge nodes as processes of their own, begun as the deploy file says ({@code docs/design/lab.md}).
 */
package edgegateway.testbed.processes;

/**
 * The client workload: request arrivals that are drawn from a seed before a run, and the clients
 * that send them ({@code docs/design/testbed.md}).
 */
package edgegateway.testbed.workload;

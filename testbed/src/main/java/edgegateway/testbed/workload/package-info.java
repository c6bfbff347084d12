/** What clients ask for, drawn ahead from a seed ({@code docs/design/testbed.md}). */
package edgegateway.testbed.workload;

/** What clients ask for, drawn ahead from a seed ({@code docs/design/lab.md}). */
package edgegateway.testbed.workload;

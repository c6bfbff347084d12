/** Scenarios: what is played, and playing it ({@code docs/design/lab.md}). */
package edgegateway.testbed.scenario;

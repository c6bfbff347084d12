/** Scenarios: what is played, and playing it ({@code docs/design/testbed.md}). */
package edgegateway.testbed.scenario;

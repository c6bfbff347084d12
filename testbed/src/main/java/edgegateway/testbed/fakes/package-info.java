/**
 * Stand-ins for what an edge node speaks with, written from the protocol ({@code
 * docs/design/lab.md}).
 */
package edgegateway.testbed.fakes;

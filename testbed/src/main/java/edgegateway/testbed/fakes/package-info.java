/**
 * Stand-ins for what an edge node speaks with, written from the protocol ({@code
 * docs/design/testbed.md}).
 */
package edgegateway.testbed.fakes;

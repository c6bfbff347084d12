/**
 * A fleet of real edge nodes among stand-ins, with a link between every two that speak ({@code
 * docs/design/testbed.md}).
 */
package edgegateway.testbed.fleet;

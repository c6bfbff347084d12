/**
 * The stand-ins on sockets: thin adapters that carry HTTP/1.1 to the cores of {@code
 * edgegateway.testbed.fakes}.
 */
package edgegateway.testbed.fakes.http;

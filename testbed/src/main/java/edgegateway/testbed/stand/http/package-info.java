/**
 * The stand-ins on sockets: thin adapters that carry HTTP/1.1 to the cores of {@code
 * edgegateway.testbed.stand}.
 */
package edgegateway.testbed.stand.http;

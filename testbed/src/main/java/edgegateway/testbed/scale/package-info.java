/**
 * How figures grow with the fleet: the file of sizes, the points measured, their result, and the
 * capacity tables made of them.
 */
package edgegateway.testbed.scale;

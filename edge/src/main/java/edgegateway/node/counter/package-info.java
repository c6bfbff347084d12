/** Calls to the shared quota counter. */
package edgegateway.node.counter;

/** The process: wiring of its parts, start and end. */
package edgegateway.node;

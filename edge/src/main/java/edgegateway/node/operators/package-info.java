/** Operators' calls and what they ejected. */
package edgegateway.node.operators;

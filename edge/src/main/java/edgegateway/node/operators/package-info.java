/** The line protocol of operators and the files that preserve their ejections. */
package edgegateway.node.operators;

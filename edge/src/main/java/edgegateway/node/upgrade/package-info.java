/** Detection of the other process during an upgrade, and transfer of state to it. */
package edgegateway.node.upgrade;

/** How the two processes of an upgrade know of each other and transfer state. */
package edgegateway.node.upgrade;

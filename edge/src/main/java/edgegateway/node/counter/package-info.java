/** Client of the shared counter service that quotas and zone votes use. */
package edgegateway.node.counter;

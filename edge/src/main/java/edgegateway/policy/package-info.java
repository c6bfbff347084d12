/** The decisions of a gateway: no I/O, a given clock, seeded randomness. */
package edgegateway.policy;

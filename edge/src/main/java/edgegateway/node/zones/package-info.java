/** Ejection of zones by the fleet: evidence, votes, decisions and ramps. */
package edgegateway.node.zones;

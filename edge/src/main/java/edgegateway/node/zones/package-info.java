/** Ejection and readmission of zones: health evidence, votes, decisions and traffic ramps. */
package edgegateway.node.zones;

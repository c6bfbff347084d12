/**
 * The time of the policy: the moment of the present event, and conversions between units of time.
 */
package edgegateway.policy.time;

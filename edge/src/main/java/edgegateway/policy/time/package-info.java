/** The clock of the policy and conversions between units of time. */
package edgegateway.policy.time;

/**
 * Pending requests, the queue of each request class, and the start-time fair queue over all
 * classes. {@link edgegateway.policy.scheduling.FairQueue} is the entry point.
 */
package edgegateway.policy.scheduling;

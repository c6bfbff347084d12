/**
 * The decisions of a node on each request: admission, quota, queueing, endpoint and retries. The
 * policy does no I/O, takes the time from its events and uses a seeded random generator, so that
 * the same events always lead to the same decisions. {@link edgegateway.policy.GatewayPolicy} is
 * the entry.
 */
package edgegateway.policy;

/**
 * Customer quotas over all nodes: token buckets, the estimate of remote usage, and the calls to the
 * shared counter with their budget and the detection of counter outages. {@link
 * edgegateway.policy.quota.QuotaManager} is the entry point.
 */
package edgegateway.policy.quota;

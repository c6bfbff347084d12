/**
 * Quotas of customers over all nodes: token buckets, the estimate of remote usage, and the calls to
 * the shared counter with their budget and the counter's outage. {@link
 * edgegateway.policy.quota.QuotaManager} is the entry.
 */
package edgegateway.policy.quota;

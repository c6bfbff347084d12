/** When an attempt may be retried, what a retry costs, and how long an attempt may take. */
package edgegateway.policy.retry;

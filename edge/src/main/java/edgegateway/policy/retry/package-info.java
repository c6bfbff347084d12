/** When an attempt may be repeated, at which price, and how long an attempt may take. */
package edgegateway.policy.retry;

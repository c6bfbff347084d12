/**
 * Rules for rejecting requests before they are sent: deadlines that cannot be met, load shedding,
 * Retry-After and the concurrency caps of quota plans.
 */
package edgegateway.policy.admission;

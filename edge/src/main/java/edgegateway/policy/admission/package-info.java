/**
 * What is not let in, or not kept waiting: deadlines that cannot be met, load shedding, Retry-After
 * and the concurrency caps of quota plans.
 */
package edgegateway.policy.admission;

/**
 * The interface between the policy and its host: the events that the host reports, the actions that
 * the policy requests, and the types of both. All times are nanoseconds of one monotonic clock of
 * the host. Only the immutable records and enums are thread-safe: a host calls a policy on one
 * thread, and the policy calls the host on the same thread.
 */
package edgegateway.policy.api;

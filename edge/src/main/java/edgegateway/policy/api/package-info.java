/**
 * The interface of the decision module: the events that a host reports, the actions that it is
 * asked for, and the types of both. All times are nanoseconds of one clock that the host gives and
 * that never runs backwards. Nothing here is thread-safe but the immutable records and enums: a
 * host calls a policy on one thread, and is called back on that thread.
 */
package edgegateway.policy.api;

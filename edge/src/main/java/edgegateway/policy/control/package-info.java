/**
 * Feedback control of the node: the shares of the request classes in the fair queue and the limit
 * on concurrent attempts, both from models fitted by recursive least squares once an interval. No
 * I/O, no clock, no randomness; all classes belong to the event loop.
 */
package edgegateway.policy.control;

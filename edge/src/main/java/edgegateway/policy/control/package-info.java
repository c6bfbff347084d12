/**
 * Feedback control of the node: the shares of the request classes in the fair queue, and the limit
 * on concurrent attempts. Both are computed once per control interval from models that are fitted
 * by recursive least squares. The package uses no I/O, clock or randomness. Its classes are not
 * thread-safe and are used on the event loop thread only.
 */
package edgegateway.policy.control;

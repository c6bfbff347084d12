package edgegateway.node.requests;

import edgegateway.node.metrics.NodeMetrics.RequestEnd;

/**
 * What the clients' side tells of its requests and asks about the node. All methods are for the
 * event loop's thread. A call may answer the request before it returns.
 */
public interface ClientRequestHandler {
  /** The time on the node's clock, in nanoseconds since the epoch; it never runs backwards. */
  long nowNanos();

  /**
   * The deadline to give the policy for a client that waits {@code clientTimeoutNanos} from {@code
   * nowNanos}: early enough for the last answer to be written before the client leaves.
   */
  long policyDeadlineNanos(long nowNanos, long clientTimeoutNanos);

  /** Whether the front may send clients here. */
  boolean healthy();

  /** Takes a request; false, and nothing done, if one with the same id is in flight. */
  boolean accept(InFlightRequest request);

  /**
   * Has a request rejected that the node has no capacity to carry; false, and nothing done, if one
   * with the same id is in flight.
   */
  boolean rejectOverCapacity(InFlightRequest request);

  /** A part of a long body was forwarded and is no longer buffered: no retry can follow. */
  void bodyForwarded(InFlightRequest request);

  /**
   * The last byte of a long body arrived; the client waits {@code clientTimeoutNanos} from now on.
   */
  void uploadCompleted(InFlightRequest request, long clientTimeoutNanos);

  /** A long response has ended; {@code end} is null if its client disconnected. */
  void responseEnded(InFlightRequest request, RequestEnd end);

  /** The client disconnected before its answer: no attempt that has not begun may begin. */
  void clientDisconnected(InFlightRequest request);

  /**
   * The client stopped sending and may have disconnected, and there is no way to find out: an
   * answer that is on its way is still delivered, but no further attempt begins.
   */
  void clientPossiblyDisconnected(InFlightRequest request);
}

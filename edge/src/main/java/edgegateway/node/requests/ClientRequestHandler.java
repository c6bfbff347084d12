package edgegateway.node.requests;

import edgegateway.node.metrics.NodeMetrics.RequestEnd;

/**
 * Receives requests and their events from the client side. All methods are called on the event
 * loop's thread. The response to a request may be written before a call returns.
 */
public interface ClientRequestHandler {
  /** The node's clock: nanoseconds since the epoch, monotonic. */
  long nowNanos();

  /**
   * The request deadline that the policy works with, on the node's clock. It is earlier than the
   * client's own deadline, so that a response sent at the last moment still reaches the client.
   *
   * @param clientTimeoutNanos how long the client waits for its response, from {@code nowNanos}
   */
  long policyDeadlineNanos(long nowNanos, long clientTimeoutNanos);

  /** Whether the node's health check succeeds, so that load balancers send clients to it. */
  boolean healthy();

  /**
   * Accepts a request.
   *
   * @return false, with no effect, if a request with the same id is in flight
   */
  boolean accept(InFlightRequest request);

  /**
   * Rejects a request for which the node lacks the connections or the buffer memory.
   *
   * @return false, with no effect, if a request with the same id is in flight
   */
  boolean rejectOverCapacity(InFlightRequest request);

  /** A part of a long body was forwarded and is no longer buffered, so no retry is possible. */
  void bodyForwarded(InFlightRequest request);

  /**
   * The last byte of a long body arrived.
   *
   * @param clientWaitsNanos how long the client may have been waiting since it sent that byte
   */
  void uploadCompleted(InFlightRequest request, long clientWaitsNanos);

  /**
   * A streamed response ended.
   *
   * @param end null if the client disconnected before the end
   */
  void responseEnded(InFlightRequest request, RequestEnd end);

  /** The client disconnected before its response began: no further attempt may be sent. */
  void clientDisconnected(InFlightRequest request);

  /**
   * The client may have disconnected and cannot be probed. The response to the attempt in flight is
   * still delivered, but no further attempt is sent.
   */
  void clientPossiblyDisconnected(InFlightRequest request);
}

package edgegateway.node.requests;

import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.ResponseProgress;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.function.Supplier;

/**
 * Receives the results of attempts from the upstream side. All methods are called on the event
 * loop's thread.
 */
public interface AttemptListener {
  /** The node's clock: nanoseconds since the epoch, monotonic. */
  long nowNanos();

  /** The time until the last attempt of a request must have ended; negative after that. */
  long untilDeadlineNanos(InFlightRequest request);

  /**
   * Called when an attempt ended; exactly once per attempt, unless {@link #responseStarted} was
   * called for it.
   *
   * @param durationNanos time since the attempt was sent
   * @param endpointId the endpoint's id
   * @param actualUnits the quota units that the server charged, which replace the estimate; 0 if
   *     the response does not name them
   * @param body the complete body of a successful response, otherwise null; the caller keeps
   *     ownership
   */
  void attemptEnded(
      InFlightRequest request,
      Outcome outcome,
      long durationNanos,
      String endpointId,
      double actualUnits,
      ByteBuf body);

  /**
   * Whether an incomplete response that is buffered is streamed from now on.
   *
   * @param progress how far the response has come
   * @param heldNanos how long its first bytes have been buffered
   */
  boolean streamsBuffered(ResponseProgress progress, long heldNanos);

  /**
   * How long an attempt whose timeout has expired goes on to wait for the rest of the head of its
   * response, in nanoseconds. Unless it is positive, the attempt is ended.
   *
   * @param silentNanos how long the server has sent nothing
   */
  long headWaitNanos(InFlightRequest request, long silentNanos);

  /**
   * Whether an incomplete response is streamed from now on, as the attempt's timeout has expired.
   * If not, the attempt is ended.
   *
   * @param endpointId the endpoint's id
   * @param progress how far the response has come
   */
  boolean streamsAtTimeout(InFlightRequest request, String endpointId, ResponseProgress progress);

  /**
   * Called when a response that is too long to be buffered begins; the policy counts the attempt as
   * successful.
   *
   * @param length the body's length in bytes; -1 if the response does not declare one
   * @param durationNanos time since the attempt was sent
   * @param endpointId the endpoint's id
   * @param progress how far the response has come, whenever it is asked
   * @param onClientDisconnect run if the client disconnects before the response has ended
   * @return the client's channel, to which the body is written; null if the request already has a
   *     response
   */
  Channel responseStarted(
      InFlightRequest request,
      long length,
      long durationNanos,
      String endpointId,
      Supplier<ResponseProgress> progress,
      Runnable onClientDisconnect);
}

package edgegateway.node.requests;

import edgegateway.policy.api.Outcome;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;

/** What the upstream side tells of its attempts. All methods are for the event loop's thread. */
public interface AttemptListener {
  /** The time on the node's clock, in nanoseconds since the epoch; it never runs backwards. */
  long nowNanos();

  /**
   * An attempt ended. Called once for each attempt, unless {@link #responseStarted} was.
   *
   * @param durationNanos time since the attempt was sent
   * @param actualUnits the units charged in place of the estimate; 0 if the server named none
   * @param body the complete body of a successful response, which stays the caller's; else null
   */
  void attemptEnded(
      InFlightRequest request,
      Outcome outcome,
      long durationNanos,
      String server,
      double actualUnits,
      ByteBuf body);

  /**
   * A response too long to be buffered started: for the policy the attempt has succeeded.
   *
   * @param length its length in bytes; -1 if the server named none
   * @param onClientDisconnect run if the client disconnects before the response ended
   * @return the client's channel, which takes the pieces; null if nobody waits for them
   */
  Channel responseStarted(
      InFlightRequest request,
      long length,
      long durationNanos,
      String server,
      Runnable onClientDisconnect);
}

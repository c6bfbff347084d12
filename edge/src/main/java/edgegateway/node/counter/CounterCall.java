package edgegateway.node.counter;

import edgegateway.policy.api.Outcome;

/**
 * One call to the shared counter. It ends exactly once: with a reply, a timeout or the loss of its
 * connection, whichever comes first. A call that times out in flight stays in its connection's list
 * of calls in flight, because its reply may still arrive and must not be matched to a later call.
 */
final class CounterCall {
  private final CounterListener listener;
  private final long counterName;
  private final String uri;
  private final long createdAtNanos = System.nanoTime();
  private boolean written;
  private boolean ended;

  CounterCall(CounterListener listener, long counterName, double amount, long lifetimeNanos) {
    this.listener = listener;
    this.counterName = counterName;
    uri = CounterProtocol.uri(counterName, amount, lifetimeNanos);
  }

  String uri() {
    return uri;
  }

  long ageNanos(long nowNanos) {
    return nowNanos - createdAtNanos;
  }

  boolean hasEnded() {
    return ended;
  }

  /**
   * Whether the complete request was written to the socket; from then on the counter may have added
   * the amount.
   */
  boolean isWritten() {
    return written;
  }

  void writeCompleted(boolean success) {
    written = success;
  }

  void succeed(double total) {
    end(Outcome.OK, total);
  }

  /** Ends the call without a total. */
  void fail(Outcome outcome) {
    end(outcome, 0);
  }

  /** Ends the call because no reply arrived in time. */
  void timeOut() {
    fail(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
  }

  /**
   * Ends the call because its connection was lost. If the request was not written completely, the
   * amount was not added; otherwise this is unknown.
   */
  void connectionLost() {
    fail(written ? Outcome.RESET : Outcome.CONNECT_FAILED);
  }

  private void end(Outcome outcome, double total) {
    if (!ended) {
      ended = true;
      listener.counterCallEnded(counterName, outcome, total);
    }
  }
}

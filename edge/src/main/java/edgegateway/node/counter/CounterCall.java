package edgegateway.node.counter;

import edgegateway.policy.api.Outcome;

/**
 * One call to the shared counter. It ends exactly once, whichever comes first of reply, timeout and
 * loss of its connection. A call that timed out still has its place among those in flight: its
 * reply may be on its way.
 */
final class CounterCall {
  private final CounterListener listener;
  private final long name;
  private final String uri;
  private final long createdAtNanos = System.nanoTime();
  private boolean written;
  private boolean ended;

  CounterCall(CounterListener listener, long name, double amount, long lifetimeNanos) {
    this.listener = listener;
    this.name = name;
    uri = CounterProtocol.uri(name, amount, lifetimeNanos);
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

  /** Whether the last byte went out: from then on the counter may have added the amount. */
  boolean isWritten() {
    return written;
  }

  void writeCompleted(boolean success) {
    written = success;
  }

  void succeed(double total) {
    end(Outcome.OK, total);
  }

  /** Ends without a total. */
  void fail(Outcome outcome) {
    end(outcome, 0);
  }

  /** No reply came in time. */
  void timeOut() {
    fail(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
  }

  /** Before its last byte was written nothing was added; after that nobody knows. */
  void connectionLost() {
    fail(written ? Outcome.RESET : Outcome.CONNECT_FAILED);
  }

  private void end(Outcome outcome, double total) {
    if (!ended) {
      ended = true;
      listener.counterReplied(name, outcome, total);
    }
  }
}

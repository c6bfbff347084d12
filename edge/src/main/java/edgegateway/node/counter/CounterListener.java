package edgegateway.node.counter;

import edgegateway.policy.api.Outcome;

/** Receives the outcomes of calls to the shared counter. Methods are called on the event loop. */
public interface CounterListener {
  /**
   * A call has ended. Called exactly once for each call, never from within {@link
   * CounterClient#add}.
   *
   * @param counterName name of the counter, an unsigned number
   * @param outcome {@link Outcome#OK} if the counter replied with a total, otherwise the reason why
   *     there is none
   * @param total the named counter's total after the call; 0 unless the outcome is OK
   */
  void counterCallEnded(long counterName, Outcome outcome, double total);
}

package edgegateway.node.counter;

import edgegateway.policy.api.Outcome;

/** Learns how calls to the shared counter end. All methods are for the event loop's thread. */
public interface CounterListener {
  /**
   * A call ended. Called exactly once for each call, never from within {@link CounterClient#add}.
   *
   * @param outcome {@link Outcome#OK} if the counter replied; else why there is no total
   * @param total the named counter's total after the call; 0 unless the outcome is OK
   */
  void counterReplied(long name, Outcome outcome, double total);
}

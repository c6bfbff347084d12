package edgegateway.policy.quota;

import edgegateway.policy.api.PolicyActions;
import edgegateway.policy.time.EventClock;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The calls to the shared counter that have not ended. Calls with the same key end in the order in
 * which they were sent.
 */
final class CounterCalls {
  private final EventClock clock;
  private final PolicyActions actions;
  private final CounterAvailability availability;
  private final Map<Long, ArrayDeque<CounterCall>> pending = new LinkedHashMap<>();

  CounterCalls(EventClock clock, PolicyActions actions, CounterAvailability availability) {
    this.clock = clock;
    this.actions = actions;
    this.availability = availability;
  }

  /**
   * Sends a call that adds units to the counter of one of a customer's counting windows.
   *
   * @param quota the customer's quota
   * @param windows the customer's counting windows
   * @param window the number of the window
   * @param units the units to add; negative to take units back
   * @param reservation the reservation of the request that waits for the reply; null if none waits
   */
  void send(
      CustomerQuota quota,
      CountingWindows windows,
      long window,
      double units,
      QuotaReservation reservation) {
    availability.callSent();
    long key = windows.counterKey(window);
    CounterCall call = new CounterCall(quota, window, units, reservation, clock.nowNanos());
    pending.computeIfAbsent(key, unused -> new ArrayDeque<>()).add(call);
    actions.addToCounter(key, units, 2 * windows.lengthNanos());
  }

  /** Removes and returns the oldest call with a key; null if there is none. */
  CounterCall removeOldest(long key) {
    ArrayDeque<CounterCall> calls = pending.get(key);
    if (calls == null) {
      return null;
    }
    CounterCall oldest = calls.poll();
    if (calls.isEmpty()) {
      pending.remove(key);
    }
    return oldest;
  }

  /**
   * Passes each call that was sent before a point in time to an action; the calls stay pending.
   *
   * @param nanos the point in time, on the host's clock
   */
  void forEachSentBefore(long nanos, Consumer<CounterCall> action) {
    for (ArrayDeque<CounterCall> calls : pending.values()) {
      for (CounterCall call : calls) {
        if (call.sentAtNanos() < nanos) {
          action.accept(call);
        }
      }
    }
  }
}

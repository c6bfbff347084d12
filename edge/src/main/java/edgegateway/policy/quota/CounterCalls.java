package edgegateway.policy.quota;

import edgegateway.policy.api.PolicyActions;
import edgegateway.policy.time.EventClock;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/** The calls to the shared counter that have not ended; calls of one name end in their order. */
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
   * Adds to a customer's count of the present window.
   *
   * @param windows the customer's counting windows
   * @param units the units to add; negative to take back
   * @param reservation the request that waits for the reply; null if none does
   */
  void send(
      CustomerQuota quota,
      CountingWindows windows,
      long window,
      double units,
      QuotaReservation reservation) {
    availability.callSent();
    long name = windows.counterName(window);
    CounterCall call = new CounterCall(quota, window, units, reservation, clock.nowNanos());
    pending.computeIfAbsent(name, key -> new ArrayDeque<>()).add(call);
    actions.addToCounter(name, units, 2 * windows.lengthNanos());
  }

  /** Removes and returns the oldest call of a name; null if there is none. */
  CounterCall poll(long name) {
    ArrayDeque<CounterCall> calls = pending.get(name);
    if (calls == null) {
      return null;
    }
    CounterCall oldest = calls.poll();
    if (calls.isEmpty()) {
      pending.remove(name);
    }
    return oldest;
  }

  /** Hands over each call that was sent before a moment (in nanoseconds); it stays pending. */
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

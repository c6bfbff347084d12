package edgegateway.policy.quota;

import edgegateway.policy.time.EventClock;
import java.util.SplittableRandom;

/**
 * The budget of calls to the shared counter. Its rate follows the queueing delay at the counter, so
 * that all nodes together neither crowd it nor leave it idle. The rate changes by a small step with
 * each answer: larger steps, which all nodes take at once, make it swing.
 */
final class CounterCallBudget {
  private static final double INITIAL_CALLS_PER_SECOND = 2;
  private static final double MIN_CALLS_PER_SECOND = 1;
  private static final double MAX_INCREASE_PER_ANSWER = 0.2;
  private static final double MAX_DECREASE_PER_ANSWER = 0.3;

  /** The queueing delay, as a fraction of the timeout, at which the rate stays as it is. */
  private static final double TARGET_DELAY_FRACTION = 0.22;

  /** Unused calls are kept for this long at most. */
  private static final double MAX_SAVED_SECONDS = 0.25;

  /** A call costs between 0.5 and 1.5 tokens, 1 on average. */
  private static final double MIN_CALL_COST = 0.5;

  /** With more tokens than this a denied call was of too low a priority: calls are not scarce. */
  private static final double SCARCE_TOKENS = 1.5;

  /** The estimate of the round trip rises by 1/100 of the difference with each answer. */
  private static final int ROUND_TRIP_RISE_DIVISOR = 100;

  private final EventClock clock;
  private final SplittableRandom random;
  private final CounterAvailability availability;
  private final long timeoutNanos;
  private double callsPerSecond = INITIAL_CALLS_PER_SECOND;
  private double tokens;
  private long refilledAtNanos;
  private long roundTripNanos;
  private boolean denied;

  CounterCallBudget(
      EventClock clock,
      SplittableRandom random,
      CounterAvailability availability,
      long timeoutNanos) {
    this.clock = clock;
    this.random = random;
    this.availability = availability;
    this.timeoutNanos = timeoutNanos;
    refilledAtNanos = clock.nowNanos();
    roundTripNanos = timeoutNanos;
    tokens = random.nextDouble(INITIAL_CALLS_PER_SECOND);
  }

  double callsPerSecond() {
    return callsPerSecond;
  }

  /** Goes on at the rate of the process that this one replaces, if that is higher. */
  void raiseTo(double otherCallsPerSecond) {
    callsPerSecond = Math.max(callsPerSecond, otherCallsPerSecond);
  }

  /**
   * Takes a call from the budget if there is one for it. The emptier the budget is, the higher the
   * priority of the call must be.
   *
   * @param priority the priority of the call; 1 is the usual one
   * @return whether the call may be sent
   */
  boolean tryAcquire(double priority) {
    double rate = availability.unreachable() ? MIN_CALLS_PER_SECOND : callsPerSecond;
    double capacity = Math.max(2 * INITIAL_CALLS_PER_SECOND, rate * MAX_SAVED_SECONDS);
    tokens = Math.min(capacity, tokens + rate * clock.secondsSince(refilledAtNanos));
    refilledAtNanos = clock.nowNanos();
    boolean allowed = tokens >= 1 && priority >= 2 * (1 - tokens / capacity);
    if (allowed) {
      // At a fixed cost, nodes that lowered their rates together would all call together.
      tokens -= MIN_CALL_COST + random.nextDouble();
    }
    denied |= !allowed && tokens < SCARCE_TOKENS;
    return allowed;
  }

  /**
   * Adjusts the rate after a call.
   *
   * @param answered whether the counter answered
   * @param tookNanos how long the answer took; not used without an answer
   */
  void callEnded(boolean answered, long tookNanos) {
    long waitNanos = answered ? tookNanos : timeoutNanos;
    // The shortest wait is the round trip without a queue; it rises slowly if the way gets longer.
    long raised = roundTripNanos + (waitNanos - roundTripNanos) / ROUND_TRIP_RISE_DIVISOR;
    roundTripNanos = Math.min(waitNanos, raised);
    adjust(answered ? (waitNanos - roundTripNanos) / (double) timeoutNanos : 1);
  }

  /** A rate that is not used up must not grow: it rises only after a call was denied. */
  private void adjust(double delayFraction) {
    double rise = MAX_INCREASE_PER_ANSWER * (1 - delayFraction / TARGET_DELAY_FRACTION);
    double step = Math.max(-MAX_DECREASE_PER_ANSWER, rise);
    if (step < 0 || denied) {
      callsPerSecond = Math.max(MIN_CALLS_PER_SECOND, callsPerSecond * (1 + step));
    }
    denied = false;
  }
}

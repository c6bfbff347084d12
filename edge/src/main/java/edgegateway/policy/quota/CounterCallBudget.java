package edgegateway.policy.quota;

import edgegateway.policy.time.EventClock;
import java.util.SplittableRandom;

/**
 * The budget of calls to the shared counter: a token bucket whose rate follows the queueing delay
 * at the counter, so that all nodes together neither overload nor underuse it. Each answer changes
 * the rate by a small step: larger steps, taken by all nodes at once, make the rate oscillate.
 */
final class CounterCallBudget {
  private static final double INITIAL_CALLS_PER_SECOND = 2;
  private static final double MIN_CALLS_PER_SECOND = 1;
  private static final double MAX_RATE_INCREASE_FRACTION = 0.2;
  private static final double MAX_RATE_DECREASE_FRACTION = 0.3;

  /** The queueing delay, as a fraction of the timeout, at which the rate does not change. */
  private static final double TARGET_DELAY_FRACTION = 0.22;

  /**
   * The bucket's capacity is what its rate gains in this time, but at least twice {@link
   * #INITIAL_CALLS_PER_SECOND}.
   */
  private static final double MAX_ACCUMULATION_SECONDS = 0.25;

  /** A call costs a random number of tokens between 0.5 and 1.5, 1 on average. */
  private static final double MIN_CALL_COST_TOKENS = 0.5;

  /**
   * A call that is denied although the budget holds this many tokens or more was denied for its low
   * priority: calls are not scarce, and the rate need not rise.
   */
  private static final double SCARCITY_THRESHOLD_TOKENS = 1.5;

  /** With each slower call the estimate of the base round trip rises by 1/100 of the difference. */
  private static final int BASE_ROUND_TRIP_RISE_DIVISOR = 100;

  private final EventClock clock;
  private final SplittableRandom random;
  private final CounterAvailability availability;
  private final long timeoutNanos;
  private double callsPerSecond = INITIAL_CALLS_PER_SECOND;
  private double tokens;
  private long refilledAtNanos;
  private long baseRoundTripNanos;
  private boolean deniedForLackOfTokens;

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
    baseRoundTripNanos = timeoutNanos;
    tokens = random.nextDouble(INITIAL_CALLS_PER_SECOND);
  }

  /** The present rate in calls per second. */
  double callsPerSecond() {
    return callsPerSecond;
  }

  /** Continues at the rate of the process that this one replaces, if that is higher. */
  void raiseRateTo(double previousCallsPerSecond) {
    callsPerSecond = Math.max(callsPerSecond, previousCallsPerSecond);
  }

  /**
   * Takes the tokens for a call from the budget if it has enough of them. The emptier the budget
   * is, the higher the priority of the call must be.
   *
   * @param priority the priority of the call; 1 is average
   * @return whether the call may be sent
   */
  boolean tryAcquire(double priority) {
    double rate = availability.unreachable() ? MIN_CALLS_PER_SECOND : callsPerSecond;
    double capacity = Math.max(2 * INITIAL_CALLS_PER_SECOND, rate * MAX_ACCUMULATION_SECONDS);
    tokens = Math.min(capacity, tokens + rate * clock.secondsSince(refilledAtNanos));
    refilledAtNanos = clock.nowNanos();
    boolean allowed = tokens >= 1 && priority >= 2 * (1 - tokens / capacity);
    if (allowed) {
      // At a fixed cost, nodes that lowered their rates at the same time would also call at the
      // same time.
      tokens -= MIN_CALL_COST_TOKENS + random.nextDouble();
    }
    deniedForLackOfTokens |= !allowed && tokens < SCARCITY_THRESHOLD_TOKENS;
    return allowed;
  }

  /**
   * Adjusts the rate after a call.
   *
   * @param answered whether the counter answered
   * @param durationNanos the duration of the call; ignored if it was not answered
   */
  void callEnded(boolean answered, long durationNanos) {
    long latencyNanos = answered ? durationNanos : timeoutNanos;
    // The lowest latency is the round trip without queueing. The estimate rises slowly, in case
    // the network delay grows.
    long raisedNanos =
        baseRoundTripNanos + (latencyNanos - baseRoundTripNanos) / BASE_ROUND_TRIP_RISE_DIVISOR;
    baseRoundTripNanos = Math.min(latencyNanos, raisedNanos);
    adjustRate(answered ? (latencyNanos - baseRoundTripNanos) / (double) timeoutNanos : 1);
  }

  /**
   * Lowers or raises the rate by the queueing delay. The rate rises only after a call was denied
   * for lack of tokens, so that an unused rate does not grow.
   *
   * @param delayFraction the queueing delay as a fraction of the timeout
   */
  private void adjustRate(double delayFraction) {
    double increase = MAX_RATE_INCREASE_FRACTION * (1 - delayFraction / TARGET_DELAY_FRACTION);
    double step = Math.max(-MAX_RATE_DECREASE_FRACTION, increase);
    if (step < 0 || deniedForLackOfTokens) {
      callsPerSecond = Math.max(MIN_CALLS_PER_SECOND, callsPerSecond * (1 + step));
    }
    deniedForLackOfTokens = false;
  }
}

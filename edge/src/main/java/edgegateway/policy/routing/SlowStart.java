package edgegateway.policy.routing;

import edgegateway.policy.api.PlatformRules;
import edgegateway.policy.time.Durations;
import edgegateway.policy.time.EventClock;

/**
 * The slow start of one endpoint: after its start its capacity grows linearly from an initial
 * fraction to full capacity.
 */
final class SlowStart {
  private final EventClock clock;
  private final PlatformRules rules;
  private final long startedAtNanos;
  private long lastGrantAtNanos;

  /** {@code startedAtNanos} is 0 for an endpoint that started long ago. */
  SlowStart(EventClock clock, PlatformRules rules, long startedAtNanos) {
    this.clock = clock;
    this.rules = rules;
    this.startedAtNanos = startedAtNanos;
    lastGrantAtNanos = clock.nowNanos();
  }

  /** Whether the endpoint is still in slow start. */
  boolean inProgress() {
    return startedAtNanos > 0 && clock.nowNanos() - startedAtNanos < rules.slowStartNanos();
  }

  /** The fraction of its capacity, 0 to 1, that an endpoint in slow start has now. */
  double capacityFraction() {
    double elapsedFraction =
        Math.max(0, clock.nowNanos() - startedAtNanos)
            / (double) Math.max(1, rules.slowStartNanos());
    double initial = rules.slowStartInitialFraction();
    return initial + (1 - initial) * Math.min(1, elapsedFraction);
  }

  /**
   * Returns the work that the endpoint may be sent for the time since the last call, in seconds of
   * expected service time.
   *
   * @param fullWorkPerSecond the work that a warmed-up endpoint is sent, in seconds of expected
   *     service time per second
   */
  double grantWork(double fullWorkPerSecond) {
    long elapsedNanos = clock.nowNanos() - lastGrantAtNanos;
    lastGrantAtNanos = clock.nowNanos();
    return fullWorkPerSecond * capacityFraction() * elapsedNanos * Durations.SECONDS_PER_NANO;
  }
}

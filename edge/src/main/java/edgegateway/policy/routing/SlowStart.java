package edgegateway.policy.routing;

import edgegateway.policy.api.PlatformRules;
import edgegateway.policy.time.Durations;
import edgegateway.policy.time.EventClock;

/**
 * The slow start of one endpoint: after its start it bears less, and evenly more up to its whole.
 */
final class SlowStart {
  private final EventClock clock;
  private final PlatformRules rules;
  private final long startedAtNanos;
  private long grantedUntilNanos;

  /** {@code startedAtNanos} is 0 for an endpoint that started long ago. */
  SlowStart(EventClock clock, PlatformRules rules, long startedAtNanos) {
    this.clock = clock;
    this.rules = rules;
    this.startedAtNanos = startedAtNanos;
    grantedUntilNanos = clock.nowNanos();
  }

  boolean inProgress() {
    return startedAtNanos > 0 && clock.nowNanos() - startedAtNanos < rules.slowStartNanos();
  }

  /** The part of its capacity that the endpoint bears now, if it is in slow start: 0 to 1. */
  double capacityFraction() {
    double age =
        Math.max(0, clock.nowNanos() - startedAtNanos)
            / (double) Math.max(1, rules.slowStartNanos());
    double initial = rules.slowStartInitialFraction();
    return initial + (1 - initial) * Math.min(1, age);
  }

  /**
   * The work that the endpoint may be sent for the time since the last call, in seconds of service.
   *
   * @param fullWorkPerSecond what an endpoint past its slow start is sent, in seconds a second
   */
  double grantWork(double fullWorkPerSecond) {
    long elapsedNanos = clock.nowNanos() - grantedUntilNanos;
    grantedUntilNanos = clock.nowNanos();
    return fullWorkPerSecond * capacityFraction() * elapsedNanos * Durations.SECONDS_PER_NANO;
  }
}

package edgegateway.policy.admission;

import edgegateway.policy.api.RequestLimits;
import edgegateway.policy.time.Durations;
import java.util.SplittableRandom;

/** Decides the Retry-After of a rejected request. */
public final class RetryAfterPolicy {
  private static final double MAX_OVER_CAPACITY_SECONDS = 2;
  private static final double MIN_SPREAD = 0.5;

  private final RequestLimits limits;
  private final SplittableRandom random;

  /** Creates a policy within the settings' limits; it draws nothing from {@code random} yet. */
  public RetryAfterPolicy(RequestLimits limits, SplittableRandom random) {
    this.limits = limits;
    this.random = random;
  }

  /**
   * Returns the Retry-After for a wait.
   *
   * @param seconds the wait until the request should have a chance
   * @return nanoseconds, one timer period or more; 0 if the settings allow no advice
   */
  public long retryAfterNanos(double seconds) {
    long maxNanos = limits.retryAfterAllowed() ? limits.maxRetryAfterNanos() : 0;
    double wanted = Math.max(Durations.TIMER_PERIOD_NANOS, seconds * Durations.NANOS_PER_SECOND);
    return (long) Math.min(maxNanos, wanted);
  }

  /**
   * Returns the Retry-After, in nanoseconds, of a request that the host has no room for: random, as
   * all that are rejected in a surge must not come back together.
   */
  public long overCapacityRetryAfterNanos() {
    double maxSeconds =
        Math.min(
            MAX_OVER_CAPACITY_SECONDS, limits.maxRetryAfterNanos() * Durations.SECONDS_PER_NANO);
    return retryAfterNanos(maxSeconds * (MIN_SPREAD + random.nextDouble() / 2));
  }
}

package edgegateway.policy.admission;

import edgegateway.policy.api.RequestLimits;
import edgegateway.policy.time.Durations;
import java.util.SplittableRandom;

/** Computes the Retry-After value of rejected requests. */
public final class RetryAfterPolicy {
  private static final double MAX_OVER_CAPACITY_SECONDS = 2;

  /** The random factor on the Retry-After of requests over host capacity is between this and 1. */
  private static final double MIN_JITTER_FACTOR = 0.5;

  private final RequestLimits limits;
  private final SplittableRandom random;

  /**
   * Creates a policy within the settings' limits; {@code random} is not used before the first
   * request over host capacity.
   */
  public RetryAfterPolicy(RequestLimits limits, SplittableRandom random) {
    this.limits = limits;
    this.random = random;
  }

  /**
   * Returns the Retry-After for a wait, in nanoseconds: at least one timer period and at most the
   * settings' limit; 0 if the settings do not allow Retry-After.
   *
   * @param seconds the wait until the request is expected to be accepted
   */
  public long retryAfterNanos(double seconds) {
    long maxNanos = limits.retryAfterAllowed() ? limits.maxRetryAfterNanos() : 0;
    double wantedNanos =
        Math.max(Durations.TIMER_PERIOD_NANOS, seconds * Durations.NANOS_PER_SECOND);
    return (long) Math.min(maxNanos, wantedNanos);
  }

  /**
   * Returns the Retry-After, in nanoseconds, of a request that exceeds the host's capacity. It is
   * random, so that clients rejected in one surge do not all retry at the same time.
   */
  public long overCapacityRetryAfterNanos() {
    double maxSeconds =
        Math.min(
            MAX_OVER_CAPACITY_SECONDS, limits.maxRetryAfterNanos() * Durations.SECONDS_PER_NANO);
    return retryAfterNanos(maxSeconds * (MIN_JITTER_FACTOR + random.nextDouble() / 2));
  }
}

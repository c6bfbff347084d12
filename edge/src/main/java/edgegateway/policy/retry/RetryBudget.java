package edgegateway.policy.retry;

/**
 * The budget of retries: a fraction of the first attempts, so that retries can't multiply the load
 * of endpoints that fail under it.
 */
public final class RetryBudget {
  private static final double RETRIES_PER_FIRST_ATTEMPT = 0.2;
  private static final double MAX_SAVED_RETRIES = 20;

  private double tokens = MAX_SAVED_RETRIES;

  /** A request's first attempt is sent: the budget grows. */
  public void firstAttemptSent() {
    tokens = Math.min(MAX_SAVED_RETRIES, tokens + RETRIES_PER_FIRST_ATTEMPT);
  }

  /** Whether the budget has a number of retries left. */
  boolean has(double retries) {
    return tokens >= retries;
  }

  /** Whether retries are no bottleneck now: half of what may be saved is left. */
  boolean isHalfFull() {
    return tokens >= MAX_SAVED_RETRIES / 2;
  }

  /** Takes retries that {@link #has} found. */
  void acquire(double retries) {
    tokens -= retries;
  }
}

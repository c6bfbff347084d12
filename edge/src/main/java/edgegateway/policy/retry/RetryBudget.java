package edgegateway.policy.retry;

/**
 * The budget of retries: a token bucket that each first attempt adds a fraction of a retry to, so
 * that retries cannot multiply the load on endpoints that fail under it.
 */
public final class RetryBudget {
  private static final double TOKENS_PER_FIRST_ATTEMPT = 0.2;
  private static final double MAX_TOKENS = 20;

  private double tokens = MAX_TOKENS;

  /** Adds to the budget, since a request's first attempt is sent. */
  public void firstAttemptSent() {
    tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_FIRST_ATTEMPT);
  }

  /** Whether the budget has enough tokens for a number of retries. */
  boolean hasTokens(double retries) {
    return tokens >= retries;
  }

  /** Whether at least half of the maximum is available, so that retries are not scarce. */
  boolean isHalfFull() {
    return tokens >= MAX_TOKENS / 2;
  }

  /** Takes the tokens of retries for which {@link #hasTokens} returned true. */
  void acquire(double retries) {
    tokens -= retries;
  }
}

package edgegateway.policy.routing;

import edgegateway.policy.time.EventClock;

/**
 * Counts of this node's ended attempts in one zone and of the failures among them: recent ones,
 * which decay exponentially, and totals.
 */
final class ZoneAttempts {
  /**
   * Time constant of the decay of the failure excess. It is longer than the 1 s of the other counts
   * because a node that avoids failing endpoints sees few of their failures.
   */
  private static final double EXCESS_TIME_CONSTANT_SECONDS = 5;

  /** An error counts less than a missing answer, as it shows that the endpoint is reachable. */
  private static final double ERROR_EXCESS = 0.5;

  private final EventClock clock;
  private double recentAttempts;
  private double recentFailures;
  private double failureExcess;
  private long decayedAtNanos;
  private long totalAttempts;
  private long totalFailures;
  private long lastAnswerNanos;

  ZoneAttempts(EventClock clock) {
    this.clock = clock;
    decayedAtNanos = clock.nowNanos();
    lastAnswerNanos = clock.startNanos();
  }

  /** Decays the recent counts up to now; their time constant is one second. */
  void decay() {
    double decayFactor = Math.exp(-clock.secondsSince(decayedAtNanos));
    recentAttempts *= decayFactor;
    recentFailures *= decayFactor;
    failureExcess *= Math.pow(decayFactor, 1 / EXCESS_TIME_CONSTANT_SECONDS);
    decayedAtNanos = clock.nowNanos();
  }

  /** Counts an attempt that ended; {@code unanswered} implies {@code failed}. */
  void attemptEnded(boolean failed, boolean unanswered) {
    decay();
    recentAttempts++;
    totalAttempts++;
    if (failed) {
      recentFailures++;
      totalFailures++;
    }
    failureExcess = Math.max(0, failureExcess + excessChange(failed, unanswered));
    if (!unanswered) {
      lastAnswerNanos = clock.nowNanos();
    }
  }

  private static double excessChange(boolean failed, boolean unanswered) {
    if (unanswered) {
      return 1;
    }
    return failed ? ERROR_EXCESS : -1;
  }

  /** Attempts that ended, decaying with a time constant of one second. */
  double recentAttempts() {
    return recentAttempts;
  }

  /** The failures among the recent attempts. */
  double recentFailures() {
    return recentFailures;
  }

  /**
   * The excess of failures over answers: a cumulative sum to which an unanswered attempt adds 1, an
   * error adds 0.5 and any other answer -1, never below 0, decaying with a time constant of 5 s.
   */
  double failureExcess() {
    return failureExcess;
  }

  long totalAttempts() {
    return totalAttempts;
  }

  long totalFailures() {
    return totalFailures;
  }

  /**
   * When an attempt was last answered, if only with an error, in nanoseconds; before the first
   * answer, when the policy started.
   */
  long lastAnswerNanos() {
    return lastAnswerNanos;
  }
}

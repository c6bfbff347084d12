package edgegateway.policy.routing;

import edgegateway.policy.time.EventClock;

/** What the attempts in one zone came to: recently, decaying, and in all. */
final class ZoneAttempts {
  /** The excess of failures decays this slowly: who avoids failing endpoints meets few of them. */
  private static final double EXCESS_MEMORY_SECONDS = 5;

  /** An endpoint that answers with an error is still there. */
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

  /** Decays what is recent to the present moment. */
  void decay() {
    double kept = Math.exp(-clock.secondsSince(decayedAtNanos));
    recentAttempts *= kept;
    recentFailures *= kept;
    failureExcess *= Math.pow(kept, 1 / EXCESS_MEMORY_SECONDS);
    decayedAtNanos = clock.nowNanos();
  }

  void attemptEnded(boolean failed, boolean unanswered) {
    decay();
    recentAttempts++;
    totalAttempts++;
    if (failed) {
      recentFailures++;
      totalFailures++;
    }
    failureExcess = Math.max(0, failureExcess + excess(failed, unanswered));
    if (!unanswered) {
      lastAnswerNanos = clock.nowNanos();
    }
  }

  private static double excess(boolean failed, boolean unanswered) {
    if (unanswered) {
      return 1;
    }
    return failed ? ERROR_EXCESS : -1;
  }

  /** Attempts that ended, decaying with a time of one second. */
  double recentAttempts() {
    return recentAttempts;
  }

  /** Those of the recent attempts that failed. */
  double recentFailures() {
    return recentFailures;
  }

  /** By how much failures outweigh answers since they last did not. */
  double failureExcess() {
    return failureExcess;
  }

  long totalAttempts() {
    return totalAttempts;
  }

  long totalFailures() {
    return totalFailures;
  }

  /** When anything was last answered, if only by an error; at first the start, in nanoseconds. */
  long lastAnswerNanos() {
    return lastAnswerNanos;
  }
}

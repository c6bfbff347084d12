package edgegateway.node.zones;

import edgegateway.policy.api.ZoneHealth;

/**
 * Schedules one node's half-open attempts in an ejected zone. Attempts are sent in rounds, at a
 * fixed interval. A round ends when an attempt fails or a new voting window begins. After a failure
 * the next round starts with exponential backoff.
 */
final class HalfOpenProbes {
  private static final long ATTEMPT_INTERVAL_NANOS = 200_000_000L;
  private static final long INITIAL_BACKOFF_NANOS = 500_000_000L;
  private static final long MAX_BACKOFF_NANOS = 2_000_000_000L;
  private static final int MAX_BACKOFF_DOUBLINGS = 5;
  private static final long NO_WINDOW = Long.MIN_VALUE;

  /** Sends one half-open attempt. */
  private final Runnable sendAttempt;

  private long window = NO_WINDOW;
  private long nextAttemptNanos;
  private int failedRounds;

  /** Total attempts of the zone when the current round began. */
  private long attemptsAtRoundStart;

  /** Total failures of the zone when the current round began. */
  private long failuresAtRoundStart;

  HalfOpenProbes(Runnable sendAttempt) {
    this.sendAttempt = sendAttempt;
  }

  /** Starts over, without backoff, after the zone was ejected. */
  void reset(long nowNanos) {
    window = NO_WINDOW;
    nextAttemptNanos = nowNanos;
    failedRounds = 0;
  }

  /**
   * Sends the next attempt if it is due.
   *
   * @param requiredSuccesses number of successful attempts that a round needs
   * @return whether the current round has enough successful attempts and no failure
   */
  boolean advance(long nowNanos, ZoneHealth health, int requiredSuccesses) {
    long currentWindow = ZoneConsensus.window(nowNanos);
    if (window != currentWindow) {
      window = currentWindow;
      nextAttemptNanos = Math.max(nextAttemptNanos, nowNanos);
      beginRound(health);
    }
    if (health.totalFailures() > failuresAtRoundStart) {
      nextAttemptNanos = nowNanos + backoffNanos();
      failedRounds++;
      beginRound(health);
      return false;
    }
    boolean succeeded = health.totalAttempts() - attemptsAtRoundStart >= requiredSuccesses;
    if (!succeeded && nowNanos >= nextAttemptNanos) {
      nextAttemptNanos = nowNanos + ATTEMPT_INTERVAL_NANOS;
      sendAttempt.run();
    }
    return succeeded;
  }

  private long backoffNanos() {
    int doublings = Math.min(failedRounds, MAX_BACKOFF_DOUBLINGS);
    return Math.min(MAX_BACKOFF_NANOS, INITIAL_BACKOFF_NANOS << doublings);
  }

  private void beginRound(ZoneHealth health) {
    attemptsAtRoundStart = health.totalAttempts();
    failuresAtRoundStart = health.totalFailures();
  }
}

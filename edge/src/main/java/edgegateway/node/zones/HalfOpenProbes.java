package edgegateway.node.zones;

import edgegateway.policy.api.ZoneHealth;

/**
 * Schedules one node's half-open attempts in an ejected zone. Attempts are sent in rounds, at a
 * fixed interval. A round ends when an attempt fails or a new voting window begins. After a failure
 * the next round starts with exponential backoff.
 */
final class HalfOpenProbes {
  private static final long PROBE_INTERVAL_NANOS = 200_000_000L;
  private static final long INITIAL_BACKOFF_NANOS = 500_000_000L;
  private static final long MAX_BACKOFF_NANOS = 2_000_000_000L;
  private static final int MAX_BACKOFF_DOUBLINGS = 5;
  private static final long NO_WINDOW = Long.MIN_VALUE;

  /** Sends one half-open attempt. */
  private final Runnable sendProbe;

  private long window = NO_WINDOW;
  private long nextProbeNanos;
  private int failedRounds;

  /** Total attempts of the zone when the current round began. */
  private long attemptsAtRoundStart;

  /** Total failures of the zone when the current round began. */
  private long failuresAtRoundStart;

  HalfOpenProbes(Runnable sendProbe) {
    this.sendProbe = sendProbe;
  }

  /** Starts over, without backoff, after the zone was ejected. */
  void reset(long nowNanos) {
    window = NO_WINDOW;
    nextProbeNanos = nowNanos;
    failedRounds = 0;
  }

  /**
   * Sends the next attempt if it is due.
   *
   * @param requiredAnswers number of successful attempts that a round needs
   * @return whether the current round has enough successful attempts and no failure
   */
  boolean advance(long nowNanos, ZoneHealth health, int requiredAnswers) {
    long currentWindow = ZoneConsensus.window(nowNanos);
    if (window != currentWindow) {
      window = currentWindow;
      nextProbeNanos = Math.max(nextProbeNanos, nowNanos);
      beginRound(health);
    }
    if (health.totalFailures() > failuresAtRoundStart) {
      nextProbeNanos = nowNanos + backoffNanos();
      failedRounds++;
      beginRound(health);
      return false;
    }
    boolean succeeded = health.totalAttempts() - attemptsAtRoundStart >= requiredAnswers;
    if (!succeeded && nowNanos >= nextProbeNanos) {
      nextProbeNanos = nowNanos + PROBE_INTERVAL_NANOS;
      sendProbe.run();
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

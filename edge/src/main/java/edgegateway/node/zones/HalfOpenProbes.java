package edgegateway.node.zones;

import edgegateway.policy.api.ZoneHealth;

/**
 * Half-open attempts of one node into an ejected zone: one after the other, and after a failure
 * from the beginning with exponential backoff. Each voting window begins anew.
 */
final class HalfOpenProbes {
  private static final long INTERVAL_NANOS = 200_000_000L;
  private static final long BACKOFF_NANOS = 500_000_000L;
  private static final long MAX_BACKOFF_NANOS = 2_000_000_000L;
  private static final int MAX_BACKOFF_DOUBLINGS = 5;
  private static final long NEVER = Long.MIN_VALUE;

  /** Asks for an attempt. */
  private final Runnable probe;

  private long window = NEVER;
  private long nextProbeNanos;
  private int failedRounds;

  /** Totals of the zone when the present round began. */
  private long attemptsBefore;

  private long failuresBefore;

  HalfOpenProbes(Runnable probe) {
    this.probe = probe;
  }

  /** The zone was ejected: forgets all rounds. */
  void reset(long nowNanos) {
    window = NEVER;
    nextProbeNanos = nowNanos;
    failedRounds = 0;
  }

  /**
   * Whether enough attempts of this round were answered and none failed; sends the next one if it
   * is due.
   */
  boolean passed(long nowNanos, ZoneHealth health, int requiredAnswers) {
    long present = ZoneConsensus.window(nowNanos);
    if (window != present) {
      window = present;
      nextProbeNanos = Math.max(nextProbeNanos, nowNanos);
      beginRound(health);
    }
    if (health.totalFailures() > failuresBefore) {
      nextProbeNanos = nowNanos + backoffNanos();
      failedRounds++;
      beginRound(health);
      return false;
    }
    boolean passed = health.totalAttempts() - attemptsBefore >= requiredAnswers;
    if (!passed && nowNanos >= nextProbeNanos) {
      nextProbeNanos = nowNanos + INTERVAL_NANOS;
      probe.run();
    }
    return passed;
  }

  private long backoffNanos() {
    int doublings = Math.min(failedRounds, MAX_BACKOFF_DOUBLINGS);
    return Math.min(MAX_BACKOFF_NANOS, BACKOFF_NANOS << doublings);
  }

  private void beginRound(ZoneHealth health) {
    attemptsBefore = health.totalAttempts();
    failuresBefore = health.totalFailures();
  }
}

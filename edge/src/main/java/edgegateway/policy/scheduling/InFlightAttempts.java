package edgegateway.policy.scheduling;

import edgegateway.policy.control.ConcurrencyController;
import edgegateway.policy.time.EventClock;

/** The attempts in flight, held to the concurrency limit. */
public final class InFlightAttempts {
  private final EventClock clock;
  private final ConcurrencyController concurrency;
  private int count;
  private long pausedUntilNanos;

  /** Creates the count, 0, for the limit of a controller. */
  public InFlightAttempts(EventClock clock, ConcurrencyController concurrency) {
    this.clock = clock;
    this.concurrency = concurrency;
  }

  /** Whether fewer attempts are in flight than the limit. */
  public boolean belowLimit() {
    return count < concurrency.limit();
  }

  /** Whether the next request may be released now. */
  public boolean mayDispatch() {
    return belowLimit() && clock.nowNanos() >= pausedUntilNanos;
  }

  /** An attempt was sent. */
  public void attemptSent() {
    count++;
    if (!belowLimit()) {
      concurrency.markLimitReached();
    }
  }

  /**
   * An attempt ended. A limit below 1 is kept over time, by a pause after each attempt: with
   * hundreds of nodes, one attempt of each may be too many for a few endpoints.
   *
   * @param inProgress whether it counted until now
   */
  public void attemptEnded(boolean inProgress, long durationNanos) {
    count -= inProgress ? 1 : 0;
    double pauseDurations = Math.max(0, 1 / concurrency.limit() - 1);
    pausedUntilNanos = clock.nowNanos() + (long) (durationNanos * pauseDurations);
  }

  /** An attempt waits for its client and counts no longer. */
  public void suspended() {
    count--;
  }

  /** A suspended attempt counts again. */
  public void resumed() {
    count++;
  }
}

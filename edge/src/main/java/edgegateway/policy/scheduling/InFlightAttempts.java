package edgegateway.policy.scheduling;

import edgegateway.policy.control.ConcurrencyController;
import edgegateway.policy.time.EventClock;

/** Counts the attempts in flight, and enforces the concurrency limit on them. */
public final class InFlightAttempts {
  private final EventClock clock;
  private final ConcurrencyController concurrency;
  private int count;
  private long earliestDispatchNanos;

  /** Starts with no attempt in flight; the controller sets the limit. */
  public InFlightAttempts(EventClock clock, ConcurrencyController concurrency) {
    this.clock = clock;
    this.concurrency = concurrency;
  }

  /** Whether fewer attempts are in flight than the limit. */
  public boolean belowLimit() {
    return count < concurrency.limit();
  }

  /** Whether the next request may be taken from the queue and sent now. */
  public boolean mayDispatch() {
    return belowLimit() && clock.nowNanos() >= earliestDispatchNanos;
  }

  /** An attempt was sent. */
  public void attemptSent() {
    count++;
    if (!belowLimit()) {
      concurrency.markLimitReached();
    }
  }

  /**
   * An attempt ended. A limit below 1 holds on average over time: the next request is delayed by
   * {@code 1 / limit - 1} times the duration of this attempt. Such limits occur because with
   * hundreds of nodes, one attempt of each may be too many for a few endpoints.
   *
   * @param wasInFlight whether the attempt was counted as in flight until now; false for a
   *     suspended one
   * @param durationNanos duration of the attempt
   */
  public void attemptEnded(boolean wasInFlight, long durationNanos) {
    count -= wasInFlight ? 1 : 0;
    double delayInDurations = Math.max(0, 1 / concurrency.limit() - 1);
    earliestDispatchNanos = clock.nowNanos() + (long) (durationNanos * delayInDurations);
  }

  /** Stops counting an attempt that waits for the rest of the request body from its client. */
  public void suspended() {
    count--;
  }

  /** Counts a suspended attempt again, as the request body was forwarded completely. */
  public void resumed() {
    count++;
  }
}

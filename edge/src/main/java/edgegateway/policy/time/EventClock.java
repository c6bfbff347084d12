package edgegateway.policy.time;

/**
 * A clock that shows the time of the current event. The time does not change while the event is
 * handled, so that all parts of the policy decide on the same time. All times are nanoseconds of
 * the host's clock.
 */
public final class EventClock {
  private final long startNanos;
  private long nowNanos;

  /**
   * Creates a clock that shows the start time of the policy.
   *
   * @param startNanos the current time
   */
  public EventClock(long startNanos) {
    this.startNanos = startNanos;
    nowNanos = startNanos;
  }

  /** Sets the time of the next event. */
  public void set(long nanos) {
    nowNanos = nanos;
  }

  /** Returns the time of the current event. */
  public long nowNanos() {
    return nowNanos;
  }

  /** Returns the time at which the policy was created. */
  public long startNanos() {
    return startNanos;
  }

  /** Returns the seconds from a time to the current event; negative for a time in the future. */
  public double secondsSince(long nanos) {
    return (nowNanos - nanos) * Durations.SECONDS_PER_NANO;
  }
}

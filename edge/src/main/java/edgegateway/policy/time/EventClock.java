package edgegateway.policy.time;

/**
 * The time of the event that is being handled. It stands still while the event is handled, so that
 * all mechanisms decide by the same moment.
 */
public final class EventClock {
  private final long startNanos;
  private long nowNanos;

  /**
   * Creates a clock that stands at the start of the policy.
   *
   * @param startNanos the present moment, in nanoseconds of the host's clock
   */
  public EventClock(long startNanos) {
    this.startNanos = startNanos;
    nowNanos = startNanos;
  }

  /** Sets the moment of the next event, in nanoseconds of the host's clock. */
  public void set(long nanos) {
    nowNanos = nanos;
  }

  /** The moment of the present event, in nanoseconds of the host's clock. */
  public long nowNanos() {
    return nowNanos;
  }

  /** The moment at which the policy was created, in nanoseconds of the host's clock. */
  public long startNanos() {
    return startNanos;
  }

  /** The seconds from a moment (in nanoseconds) to the present event; negative if it is to come. */
  public double secondsSince(long nanos) {
    return (nowNanos - nanos) * Durations.SECONDS_PER_NANO;
  }
}

package edgegateway.policy.time;

/** Conversions between units of time, and the period of the policy's timer. */
public final class Durations {
  /** Nanoseconds in a millisecond. */
  public static final long NANOS_PER_MILLISECOND = 1_000_000L;

  /** Nanoseconds in a second. */
  public static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLISECOND;

  /** Seconds in a nanosecond. */
  public static final double SECONDS_PER_NANO = 1e-9;

  /** Period of the timer that checks deadlines and sends calls to the shared quota counter. */
  public static final long TIMER_PERIOD_NANOS = 10 * NANOS_PER_MILLISECOND;

  private Durations() {}

  /** Converts seconds to nanoseconds, rounded towards zero. */
  public static long toNanos(double seconds) {
    return (long) (seconds * NANOS_PER_SECOND);
  }
}

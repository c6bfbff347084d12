package edgegateway.testbed.fakes;

/**
 * What the counter is made of. Spans are nanoseconds.
 *
 * @param parts how many parts the names lie on, 1 or more; each serves its calls in turn
 * @param callDurationNanos the work of one call, above 0
 * @param queueCapacity how many calls wait at a part before further ones are turned away, 1 or more
 */
public record FakeCounterSettings(int parts, long callDurationNanos, int queueCapacity) {
  /** The longest life of a name (protocol, The counter). */
  static final long MAX_LIFETIME_NANOS = 60_000_000_000L;

  /** Checks its ranges; the message names the figure. */
  public FakeCounterSettings {
    if (parts < 1 || callDurationNanos < 1 || queueCapacity < 1) {
      throw new IllegalArgumentException(
          (parts < 1 ? "parts" : callDurationNanos < 1 ? "perCall" : "line") + " is below 1");
    }
  }
}

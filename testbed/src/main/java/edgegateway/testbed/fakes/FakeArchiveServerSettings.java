package edgegateway.testbed.fakes;

/**
 * What an archive server is made of. Spans are nanoseconds.
 *
 * @param cores how much work it does at once when warm
 * @param slots how many requests it works on at once; they share the cores evenly
 * @param queueCapacity how many more may wait
 * @param initialFraction the share of its capacity with which it begins, above 0 up to 1
 * @param slowStartNanos the span in which its capacity rises evenly to the whole
 * @param overloadFactor sent more than this multiple of its capacity while cold ...
 * @param overloadWindowNanos ... over a window of this span, it falls over and stays down
 * @param keyLifetimeNanos for how long a repeat of a key is dropped
 */
public record FakeArchiveServerSettings(
    double cores,
    int slots,
    int queueCapacity,
    double initialFraction,
    long slowStartNanos,
    double overloadFactor,
    long overloadWindowNanos,
    long keyLifetimeNanos) {
  /** Checks its ranges; the message names the figure. */
  public FakeArchiveServerSettings {
    check(cores > 0, "cores");
    check(slots > 0, "slots");
    check(queueCapacity >= 0, "room");
    check(initialFraction > 0 && initialFraction <= 1, "coldFrom");
    check(slowStartNanos >= 0, "ramp");
    check(overloadFactor > 0, "overload");
    check(overloadWindowNanos > 0, "tipAfter");
    check(keyLifetimeNanos >= 0, "keyLife");
  }

  private static void check(boolean holds, String name) {
    if (!holds) {
      throw new IllegalArgumentException(name + " is out of its range");
    }
  }
}

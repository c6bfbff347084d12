package edgegateway.testbed.fakes;

/**
 * What an archive server is made of. Spans are nanoseconds.
 *
 * @param cores how much work it does at once when warm
 * @param slots how many requests it works on at once; they share the cores evenly
 * @param room how many more may wait
 * @param coldFrom the share of its capacity with which it begins, above 0 up to 1
 * @param ramp the span in which its capacity rises evenly to the whole
 * @param overload sent more than this multiple of its capacity while cold ...
 * @param tipAfter ... over a window of this span, it falls over and stays down
 * @param keyLife for how long a repeat of a key is dropped
 */
public record FakeArchiveServerSettings(
    double cores,
    int slots,
    int room,
    double coldFrom,
    long ramp,
    double overload,
    long tipAfter,
    long keyLife) {
  /** Checks its ranges; the message names the figure. */
  public FakeArchiveServerSettings {
    check(cores > 0, "cores");
    check(slots > 0, "slots");
    check(room >= 0, "room");
    check(coldFrom > 0 && coldFrom <= 1, "coldFrom");
    check(ramp >= 0, "ramp");
    check(overload > 0, "overload");
    check(tipAfter > 0, "tipAfter");
    check(keyLife >= 0, "keyLife");
  }

  private static void check(boolean holds, String name) {
    if (!holds) {
      throw new IllegalArgumentException(name + " is out of its range");
    }
  }
}

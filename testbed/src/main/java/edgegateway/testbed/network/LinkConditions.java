package edgegateway.testbed.network;

/**
 * How one direction of a link is.
 *
 * @param cut whether nothing passes
 * @param loss the share of parts or datagrams that are lost, 0 to 1
 * @param duplicate the share of datagrams that come twice, 0 to 1
 * @param delay nanoseconds under way, 0 or more
 * @param jitter at most so many nanoseconds more, evenly drawn
 * @param rate bytes a second; 0 for no bound
 */
public record LinkConditions(
    boolean cut, double loss, double duplicate, long delay, long jitter, long rate) {
  private static final double SECOND = 1e9;

  /** A link with nothing wrong. */
  public static final LinkConditions GOOD = new LinkConditions(false, 0, 0, 0, 0, 0);

  /** A link over which nothing passes. */
  public static final LinkConditions CUT = new LinkConditions(true, 0, 0, 0, 0, 0);

  /** Checks its ranges; the message names the figure. */
  public LinkConditions {
    share("loss", loss);
    share("duplicate", duplicate);
    least("delay", delay);
    least("jitter", jitter);
    least("rate", rate);
  }

  /** Only what is wrong, in seconds. */
  @Override
  public String toString() {
    StringBuilder text = new StringBuilder(cut ? "cut" : "");
    add(text, "loss", loss);
    add(text, "duplicate", duplicate);
    add(text, "delay", delay / SECOND);
    add(text, "jitter", jitter / SECOND);
    add(text, "rate", rate);
    return text.length() == 0 ? "good" : text.toString();
  }

  private static void add(StringBuilder text, String name, double value) {
    if (value != 0) {
      text.append(text.length() == 0 ? "" : " ").append(name).append('=').append(value);
    }
  }

  private static void share(String name, double value) {
    if (!(value >= 0 && value <= 1)) {
      throw new IllegalArgumentException(name + " is " + value + ", not 0 to 1");
    }
  }

  private static void least(String name, long value) {
    if (value < 0) {
      throw new IllegalArgumentException(name + " is " + value + ", below 0");
    }
  }

  /**
   * Both at once: either cut cuts, losses and copies are independent, delays add up, the lower rate
   * binds.
   */
  public LinkConditions and(LinkConditions other) {
    return new LinkConditions(
        cut || other.cut,
        1 - (1 - loss) * (1 - other.loss),
        1 - (1 - duplicate) * (1 - other.duplicate),
        delay + other.delay,
        jitter + other.jitter,
        rate == 0 || other.rate == 0 ? Math.max(rate, other.rate) : Math.min(rate, other.rate));
  }
}

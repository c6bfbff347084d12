package edgegateway.node.zones;

/**
 * One question about one zone in one span of time; whoever votes does so once.
 *
 * @param zone its number in the settings
 * @param window the number of the span, by the wall clock
 */
public record ZoneVote(int zone, Question question, long window) {
  /** What a vote says. */
  public enum Question {
    /** My attempts in this zone fail, while others of mine succeed. */
    FAILING,
    /** My trials in this zone, which is out, were answered. */
    WELL
  }
}

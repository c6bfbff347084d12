package edgegateway.node.zones;

/**
 * The subject of a vote: a question about a zone in a window of time. Each node votes on it at most
 * once.
 *
 * @param zone index of the zone
 * @param window number of the window, see {@link ZoneConsensus#window}
 */
public record ZoneVote(int zone, Question question, long window) {
  /** What a vote states. Its ordinal is part of the counter's key: the order must not change. */
  public enum Question {
    /** This node's attempts in the zone fail while others of it succeed. */
    FAILING,
    /** This node's half-open attempts in the zone, which is ejected, were answered. */
    HEALTHY
  }
}

package edgegateway.node.zones;

/**
 * The subject of a vote: a question about a zone in a voting window. Each node casts at most one
 * vote on a subject.
 *
 * @param zone index of the zone
 * @param window number of the voting window, see {@link ZoneConsensus#window}
 */
public record ZoneVote(int zone, Question question, long window) {
  /** What a vote asserts. The ordinal is part of the counter key, so the order must not change. */
  public enum Question {
    /** The node's attempts in the zone fail while its attempts in another zone succeed. */
    FAILING,
    /** The node's half-open attempts in the ejected zone succeeded. */
    HEALTHY
  }
}

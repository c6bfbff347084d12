package edgegateway.node.zones;

/** Carries votes between the nodes. A call may be lost, but must never count twice. */
public interface ZoneVoteTransport {
  /**
   * Asks how many nodes have voted. The count, which includes a vote cast by this call, comes later
   * by {@link ZoneConsensus#votesCounted}; {@link ZoneConsensus#voteUnanswered} says that it does
   * not.
   *
   * @param castsVote whether this node votes first
   */
  void cast(long nowNanos, ZoneVote vote, boolean castsVote);
}

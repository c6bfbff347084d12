package edgegateway.node.zones;

/** Counts the nodes' votes. A call may be lost, but a vote must never count twice. */
public interface ZoneVoteTransport {
  /**
   * Requests the number of votes, including one that this call casts. The result arrives
   * asynchronously as {@link ZoneConsensus#votesCounted}, or as {@link
   * ZoneConsensus#voteUnanswered} if the call failed.
   *
   * @param castsVote whether this call also casts the vote of this node
   */
  void requestVoteCount(long nowNanos, ZoneVote vote, boolean castsVote);
}

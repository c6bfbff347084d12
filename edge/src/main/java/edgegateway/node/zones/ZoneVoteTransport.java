package edgegateway.node.zones;

/** Carries votes between the nodes. Each call may be lost; none may count twice. */
public interface ZoneVoteTransport {
  /**
   * Asks how many nodes have voted, and votes first if {@code mine}. The tally, which includes that
   * vote, comes later by {@link ZoneConsensus#tallied}, or {@link ZoneConsensus#unanswered} says
   * that it does not.
   */
  void cast(long now, ZoneVote ballot, boolean mine);
}

package edgegateway.node.zones;

/** Carries votes between the nodes. Each call may be lost; none may count twice. */
public interface Ballots {
  /**
   * Asks how many nodes have voted, and votes first if {@code mine}. The tally, which includes that
   * vote, comes later by {@link ZoneAgreement#tallied}, or {@link ZoneAgreement#unanswered} says
   * that it does not.
   */
  void cast(long now, Ballot ballot, boolean mine);
}

package edgegateway.node.zones;

/**
 * State of a zone in the fleet's ejection, as one node sees it.
 *
 * @param decidedBy who decided on it
 * @param votes how many nodes voted for it when it was decided, as far as this node knows
 * @param sinceNanos when it began, on the policy's clock; 0 if it never changed
 * @param relapses how often the zone was ejected again soon after its return
 */
public record ZoneEjectionState(
    State state, DecidedBy decidedBy, int votes, long sinceNanos, int relapses) {
  /** The states. Operators read the names. */
  public enum State {
    /** In full use. */
    IN,
    /** In use; this node suspects it and asks for the others' votes. */
    SUSPECT,
    /** Its traffic falls to nothing. */
    LEAVING,
    /** Ejected: it gets half-open attempts only. */
    OUT,
    /** Its traffic grows. */
    RETURNING
  }

  /** Who decided. Operators read the names. */
  public enum DecidedBy {
    /** Nobody. */
    NONE,
    /** A quorum of the fleet. */
    FLEET,
    /** This node by itself. */
    ALONE
  }
}

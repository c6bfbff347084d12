package edgegateway.node.zones;

/**
 * Ejection state of a zone as one node sees it.
 *
 * @param decidedBy who made the decision that led to this state
 * @param votes number of votes known to this node when the decision was made; 1 for its own
 *     decision
 * @param sinceNanos when the state began, in nanoseconds of the policy's clock; 0 if it never
 *     changed. For {@link State#OUT} after {@link State#LEAVING}, when LEAVING began
 * @param relapses number of consecutive times that the zone was ejected again during or soon after
 *     its return
 */
public record ZoneEjectionState(
    State state, DecidedBy decidedBy, int votes, long sinceNanos, int relapses) {
  /** The states. Their names are part of the operators' interface. */
  public enum State {
    /** In full use and not suspected. */
    IN,
    /** In full use, but this node finds it failing and requests the votes of the others. */
    SUSPECT,
    /** Being ejected: its traffic ramps down to zero. */
    LEAVING,
    /** Ejected: receives only half-open attempts. */
    OUT,
    /** Being readmitted: its traffic ramps up. */
    RETURNING
  }

  /** Who decided. The names are part of the operators' interface. */
  public enum DecidedBy {
    /** No decision was needed. */
    NONE,
    /** A quorum of the nodes. */
    FLEET,
    /** This node without the others. */
    ALONE
  }
}

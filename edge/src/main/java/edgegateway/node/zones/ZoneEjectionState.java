package edgegateway.node.zones;

/**
 * How a zone stands by verdict, for people.
 *
 * @param why who decided that
 * @param witnesses how many nodes said so when it was decided, as far as this node heard
 * @param since when that began, on the module's clock; 0 for always
 * @param relapses how often it went out again on its way back, of late
 */
public record ZoneEjectionState(State state, Why why, int witnesses, long since, int relapses) {
  /** Where a zone stands. */
  public enum State {
    /** Used as ever. */
    IN,
    /** This node accuses it and asks what the others say. */
    SUSPECT,
    /** Its part of the work falls to nothing. */
    LEAVING,
    /** Nothing new goes there but trials. */
    OUT,
    /** Its part of the work grows. */
    RETURNING
  }

  /** Who decided. */
  public enum Why {
    /** Nobody. */
    NONE,
    /** A quorum of the fleet. */
    FLEET,
    /** This node by itself. */
    ALONE
  }
}

package edgegateway.node.zones;

/**
 * How zones are left and come back: the configuration's object {@code zones}.
 *
 * @param verdicts who judges
 * @param mostOut the most of the listed archive servers that may be out by verdict, 0 to 1; beyond
 *     it the evidence is taken to be wrong and no further zone is left
 * @param aloneAfter for how long a node must find a zone bad by itself until it leaves it without
 *     the others, nanoseconds
 */
public record ZoneEjectionSettings(Verdicts verdicts, double mostOut, long aloneAfter) {
  /** Who judges. */
  public enum Verdicts {
    /** Each node by itself. */
    ALONE,
    /**
     * A majority of all nodes, over the shared counter; each by itself, later, where there is none.
     */
    COUNTER
  }

  /** With two zones one may be out; a wrong verdict then halves the capacity and no more. */
  public static final double MOST_OUT = 0.5;

  /** Three times what a fleet's verdict is meant to need. */
  public static final long ALONE_AFTER = 3_000_000_000L;
}

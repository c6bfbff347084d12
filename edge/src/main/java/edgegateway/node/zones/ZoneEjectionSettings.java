package edgegateway.node.zones;

/**
 * How the fleet ejects zones: the object {@code zones} of the configuration.
 *
 * @param decisionMode who decides
 * @param maxEjectedFraction largest fraction of the listed endpoints, 0 to 1, that may be ejected
 *     with their zones; beyond it the evidence is taken to be wrong and no further zone is ejected
 * @param localDecisionAfterNanos how long a node must find a zone failing until it ejects it
 *     without the others, nanoseconds
 */
public record ZoneEjectionSettings(
    DecisionMode decisionMode, double maxEjectedFraction, long localDecisionAfterNanos) {
  /** Who decides. The names are those of the configuration's values. */
  public enum DecisionMode {
    /** Each node by itself. */
    ALONE,
    /**
     * A majority of all nodes, over the shared counter; each node by itself, later, if the counter
     * does not answer.
     */
    COUNTER
  }

  /** With two zones one may be ejected, and a wrong decision halves the capacity and no more. */
  public static final double DEFAULT_MAX_EJECTED_FRACTION = 0.5;

  /** Default of {@link #localDecisionAfterNanos}. */
  public static final long DEFAULT_LOCAL_DECISION_AFTER_NANOS = 3_000_000_000L;
}

package edgegateway.node.zones;

/**
 * Settings of zone ejection: the object {@code zones} of the configuration.
 *
 * @param decisionMode who decides on ejections
 * @param maxEjectedFraction largest fraction of the listed endpoints, 0 to 1, that may be in
 *     ejected zones. If more than this fails, the evidence is assumed to be wrong and no further
 *     zone is ejected
 * @param localDecisionAfterNanos how long, in nanoseconds, a node must find a zone failing, without
 *     any answer from it, before it ejects the zone without a majority
 */
public record ZoneEjectionSettings(
    DecisionMode decisionMode, double maxEjectedFraction, long localDecisionAfterNanos) {
  /** Who decides on ejections. The names match the values in the configuration. */
  public enum DecisionMode {
    /** Each node decides for itself. */
    ALONE,
    /**
     * A majority of all nodes decides by votes on the shared counter. Without a majority, for
     * example while the counter is unreachable, each node decides for itself, but later.
     */
    COUNTER
  }

  /** Allows one of two zones to be ejected; a wrong decision costs at most half the capacity. */
  public static final double DEFAULT_MAX_EJECTED_FRACTION = 0.5;

  /** Default of {@link #localDecisionAfterNanos}, in nanoseconds. */
  public static final long DEFAULT_LOCAL_DECISION_AFTER_NANOS = 3_000_000_000L;
}

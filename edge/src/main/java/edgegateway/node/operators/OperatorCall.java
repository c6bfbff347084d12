package edgegateway.node.operators;

/**
 * A call of the operators' line protocol, sent as one line with a keyword and its arguments. A call
 * is either a query, which reads the node's state ({@link #CHECK}, {@link #VARS} and {@link
 * #ZONES}), or a command, which changes it (all others). Keywords and answers must not change.
 */
enum OperatorCall {
  /** Reports whether the node accepts clients. */
  CHECK("check", false),
  /** Lists all metrics. */
  VARS("vars", false),
  /** Ejects an endpoint. */
  SET_DOWN("set-down", true),
  /** Readmits an endpoint. */
  SET_UP("set-up", true),
  /** Lists the state of each zone. */
  ZONES("zones", false),
  /** Ejects a zone. */
  ZONE_OUT("zone-out", true),
  /** Readmits a zone. An optional second argument is the duration of the ramp in seconds. */
  ZONE_IN("zone-in", true),
  /** Drains the node. */
  DRAIN_ON("drain-on", false),
  /** Ends draining, so that the node accepts clients again. */
  DRAIN_OFF("drain-off", false);

  private static final OperatorCall[] ALL = values();

  private final String keyword;

  /** Whether the name of an endpoint or a zone follows as the first argument. */
  final boolean takesName;

  OperatorCall(String keyword, boolean takesName) {
    this.keyword = keyword;
    this.takesName = takesName;
  }

  /** Returns the call with this keyword; null if there is none. */
  static OperatorCall of(String keyword) {
    for (OperatorCall call : ALL) {
      if (call.keyword.equals(keyword)) {
        return call;
      }
    }
    return null;
  }
}

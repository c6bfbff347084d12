package edgegateway.node.operators;

/** The calls that operators know by their words; the words and the answers stay as they are. */
enum OperatorCall {
  /** Whether the process takes clients. */
  CHECK("check", false),
  /** All metrics. */
  VARS("vars", false),
  /** Ejects an endpoint. */
  SET_DOWN("set-down", true),
  /** Readmits an endpoint. */
  SET_UP("set-up", true),
  /** The state of each zone. */
  ZONES("zones", false),
  /** Ejects a zone. */
  ZONE_OUT("zone-out", true),
  /** Readmits a zone; the one call that may bring a second argument, the ramp in seconds. */
  ZONE_IN("zone-in", true),
  /** Drains the node. */
  DRAIN_ON("drain-on", false),
  /** Has the node take clients again. */
  DRAIN_OFF("drain-off", false);

  private static final OperatorCall[] ALL = values();

  private final String word;

  /** Whether the name of an endpoint or a zone follows the word. */
  final boolean takesName;

  OperatorCall(String word, boolean takesName) {
    this.word = word;
    this.takesName = takesName;
  }

  /** The call of a word; null if there is none. */
  static OperatorCall of(String word) {
    for (OperatorCall call : ALL) {
      if (call.word.equals(word)) {
        return call;
      }
    }
    return null;
  }
}

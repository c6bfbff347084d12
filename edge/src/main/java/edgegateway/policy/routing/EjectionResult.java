package edgegateway.policy.routing;

/** What came of an operator's command to eject or readmit. */
public enum EjectionResult {
  /** Not done: the endpoint is not known, or no other zone's endpoint could be chosen. */
  REJECTED,
  /** It was so already. */
  UNCHANGED,
  /** Done. */
  CHANGED
}

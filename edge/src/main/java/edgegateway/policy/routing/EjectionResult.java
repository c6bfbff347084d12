package edgegateway.policy.routing;

/** Result of an operator's command to eject or readmit an endpoint or a zone. */
public enum EjectionResult {
  /**
   * Not done: the endpoint is unknown, or ejecting the zone would leave no endpoint that may be
   * chosen.
   */
  REJECTED,
  /** Nothing to do: the zone was already in the requested state. */
  UNCHANGED,
  /** Done. */
  CHANGED
}

package edgegateway.policy.api;

/** How an attempt, a health check or a call to the counter ended. */
public enum Outcome {
  /** Answered, or counted. */
  OK(false),
  /** The endpoint answered with an error; the request may have been executed. */
  ERROR(false),
  /** Rejected before execution: the queue is full, or the endpoint is draining. */
  REJECTED(true),
  /** No answer in time; it may have been executed, or counted. */
  TIMEOUT(false),
  /** No connection in time. */
  CONNECT_FAILED(true),
  /** The connection broke; it may have been executed, or counted. */
  RESET(false),
  /** Cancelled by the host; it may have been executed. */
  CANCELLED(false),
  /** Never sent by the host. */
  NOT_SENT(true);

  private final boolean notExecuted;

  Outcome(boolean notExecuted) {
    this.notExecuted = notExecuted;
  }

  /** Whether this outcome proves that the attempt or call had no effect. */
  public boolean provesNotExecuted() {
    return notExecuted;
  }
}

package edgegateway.policy.api;

/**
 * What the policy asks of its host. Calls come on the thread of the event that caused them and take
 * effect at the time of that event; the host must not call the policy back before that event
 * returns. No argument is null.
 */
public interface PolicyActions {
  /**
   * Starts an attempt. Its end is reported by {@link PolicyEvents#attemptEnded}.
   *
   * @param requestId id of the request, which has no final answer yet
   * @param endpointId id of an endpoint of the list
   * @param timeoutNanos the host gives the attempt up after this time, in nanoseconds, above 0
   */
  void sendAttempt(String requestId, String endpointId, long timeoutNanos);

  /**
   * Gives the final answer: rejected; the request had no effect and may safely be tried again.
   *
   * @param requestId id of the request
   * @param retryAfterNanos when the client should try again, in nanoseconds from now; 0 for no
   *     advice
   */
  void reject(String requestId, long retryAfterNanos);

  /**
   * Gives the final answer: failed; the request may have been executed.
   *
   * @param requestId id of the request
   */
  void fail(String requestId);

  /**
   * Checks the health of an endpoint. Asked for only where {@link
   * RequestLimits#healthChecksAllowed}; answered by {@link PolicyEvents#healthChecked}.
   *
   * @param endpointId id of an endpoint of the list
   */
  void healthCheck(String endpointId);

  /**
   * Adds to a number that the shared quota counter keeps for all nodes; answered by {@link
   * PolicyEvents#counterReplied} with the total.
   *
   * @param key names the number; 0 or more
   * @param amount to add, in quota units; 0 only reads, below 0 subtracts
   * @param lifetimeNanos after this time from its first call, in nanoseconds, the number is
   *     forgotten
   */
  void addToCounter(long key, double amount, long lifetimeNanos);

  /**
   * Asks for {@link PolicyEvents#timerFired}.
   *
   * @param token handed back with that event
   * @param delayNanos from now, in nanoseconds
   */
  void scheduleTimer(long token, long delayNanos);

  /**
   * Subscribes to changes of the endpoint list. Asked for only where {@link
   * RequestLimits#subscribesToEndpoints} and after {@link EndpointListKind#FAILED}.
   */
  void subscribeToEndpoints();

  /**
   * Writes a log line.
   *
   * @param message one line, without a line end
   */
  void log(String message);
}

package edgegateway.policy.api;

/**
 * The actions that the policy requests from its host. Each call is made on the thread of the event
 * that caused it and takes effect at the time of that event. The host must not call the policy
 * until the method for that event has returned. No argument is null.
 */
public interface PolicyActions {
  /**
   * Starts an attempt. The host reports its end with {@link PolicyEvents#attemptEnded}.
   *
   * @param requestId id of a request without a final answer
   * @param endpointId id of an endpoint in the list
   * @param timeoutNanos time after which the host abandons the attempt, in nanoseconds, above 0
   */
  void sendAttempt(String requestId, String endpointId, long timeoutNanos);

  /**
   * Sends the final answer that the request was rejected and that the client may safely retry it:
   * either it was not executed, or another execution does no harm.
   *
   * @param requestId id of the request
   * @param retryAfterNanos Retry-After for the client, in nanoseconds from now; 0 for none
   */
  void reject(String requestId, long retryAfterNanos);

  /**
   * Sends the final answer that the request failed; it may have been executed.
   *
   * @param requestId id of the request
   */
  void fail(String requestId);

  /**
   * Starts a health check of an endpoint. The host reports its end with {@link
   * PolicyEvents#healthChecked}. Called only if {@link RequestLimits#healthChecksAllowed}.
   *
   * @param endpointId id of an endpoint in the list
   */
  void healthCheck(String endpointId);

  /**
   * Adds an amount to a total that the shared quota counter keeps for all nodes. The host reports
   * the new total with {@link PolicyEvents#counterReplied}.
   *
   * @param key key of the total, 0 or more
   * @param amount amount to add, in quota units; 0 only reads the total, a negative amount
   *     subtracts
   * @param lifetimeNanos time from the first call for the key, in nanoseconds, after which the
   *     counter discards the total
   */
  void addToCounter(long key, double amount, long lifetimeNanos);

  /**
   * Schedules one call of {@link PolicyEvents#timerFired}.
   *
   * @param token passed back with that event
   * @param delayNanos delay from now, in nanoseconds
   */
  void scheduleTimer(long token, long delayNanos);

  /**
   * Subscribes to changes of the endpoint list. Called when the policy is created, if {@link
   * RequestLimits#subscribesToEndpoints}, and after each {@link EndpointListKind#FAILED}.
   */
  void subscribeToEndpoints();

  /**
   * Writes a log line.
   *
   * @param message a single line without a line break at its end
   */
  void log(String message);
}

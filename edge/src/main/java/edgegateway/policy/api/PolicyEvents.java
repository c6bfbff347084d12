package edgegateway.policy.api;

import java.util.List;
import java.util.Set;

/**
 * What the host reports to the policy, in the order in which it happens.
 *
 * <p>Each method gets the present time as {@code nowNanos}: nanoseconds of a clock that never runs
 * backwards. All are called on one thread and never from within a {@link PolicyActions} call. An
 * event of a request that the policy no longer holds is ignored. No argument is null unless its
 * description says so.
 */
public interface PolicyEvents {
  /**
   * The endpoint list, or changes to it.
   *
   * @param entries the complete list or the changes, see {@link EndpointListKind}
   */
  void endpointsUpdated(long nowNanos, EndpointListKind kind, List<Endpoint> entries);

  /**
   * A request was received. From now on the policy owes it exactly one final answer: {@link
   * PolicyActions#reject}, {@link PolicyActions#fail} or an attempt that ends with {@link
   * AttemptResult#requestComplete}. A request of an unknown class or plan is rejected at once; one
   * whose id is held already is ignored.
   */
  void requestReceived(long nowNanos, Request request);

  /** A request was received for which the host has no capacity left: it is rejected at once. */
  void requestOverHostCapacity(long nowNanos, Request request);

  /** An attempt ended. The host reports exactly one end for each attempt. */
  void attemptEnded(long nowNanos, AttemptResult result);

  /** The answer of a request began to be streamed; its deadline no longer applies. */
  void streamStarted(long nowNanos, String requestId);

  /**
   * A part of a long request body was forwarded to the endpoint and is no longer buffered: the
   * request cannot be sent again. Until {@link #uploadCompleted} it is no load on the endpoint,
   * which starts only when the body is complete.
   */
  void bodyForwarded(long nowNanos, String requestId);

  /** The rest of a long request body was sent; the duration of the attempt counts from now. */
  void uploadCompleted(long nowNanos, String requestId);

  /** The client disconnected; no answer is owed any more. Attempts in flight still end. */
  void clientDisconnected(long nowNanos, String requestId);

  /**
   * A call to the shared quota counter ended. Calls with the same key end in the order in which
   * they were made.
   *
   * @param key the number's name, as in {@link PolicyActions#addToCounter}
   * @param total the number after this call, in quota units; valid only with {@link Outcome#OK}
   */
  void counterReplied(long nowNanos, long key, Outcome outcome, double total);

  /**
   * A health check ended.
   *
   * @param durationNanos from its start to its end, nanoseconds
   * @param loadReport as in {@link AttemptResult#loadReport}
   */
  void healthChecked(
      long nowNanos,
      String endpointId,
      Outcome outcome,
      long durationNanos,
      List<Double> loadReport);

  /**
   * A timer fired.
   *
   * @param token the one given to {@link PolicyActions#scheduleTimer}
   */
  void timerFired(long nowNanos, long token);

  /**
   * An operator ejects an endpoint, whatever its state in the list, or readmits it; it then begins
   * with a slow start.
   *
   * @return false if the endpoint is unknown and nothing was done
   */
  boolean setEndpointEjected(long nowNanos, String endpointId, boolean ejected);

  /**
   * Restores the endpoints that operators had ejected before this start. Exactly these are ejected
   * afterwards, be they in the list or not.
   */
  void restoreEjectedEndpoints(long nowNanos, Set<String> endpointIds);

  /**
   * An operator ejects a zone or readmits it. A zone that returns has its endpoints in slow start,
   * and its traffic grows linearly.
   *
   * @param zone index of the zone
   * @param rampNanos for how long the traffic grows, in nanoseconds; used only for readmission
   * @return false if ejecting it would leave no usable endpoint; nothing was done then
   */
  boolean setZoneEjected(long nowNanos, int zone, boolean ejected, long rampNanos);

  /**
   * Restores the zones that operators had ejected before this start. Exactly these are ejected
   * afterwards; another that was ejected returns over {@link PlatformRules#slowStartNanos}.
   */
  void restoreEjectedZones(long nowNanos, Set<Integer> zones);

  /**
   * The fleet decided on the traffic of a zone. An operator's decision on the same zone takes
   * precedence.
   *
   * @param zone index of the zone
   * @param ramp the zone's fraction of its usual traffic over time; null for all of it
   */
  void setZoneRamp(long nowNanos, int zone, TrafficRamp ramp);

  /**
   * Sends the first attempt of the next idempotent request to an endpoint of a zone that the fleet
   * ejected: a half-open attempt.
   */
  void probeZone(long nowNanos, int zone);

  /**
   * Exports the state that another process needs to take over. This policy goes on answering what
   * it holds, but its quota ceilings no longer refill.
   *
   * @return never null
   */
  StateTransfer exportState(long nowNanos);

  /**
   * Takes over from the process that exported {@code state}. Requests may have been received
   * before.
   */
  void importState(long nowNanos, StateTransfer state);
}

package edgegateway.policy.api;

import java.util.List;
import java.util.Set;

/**
 * The events that the host reports to the policy, in the order in which they happen.
 *
 * <p>{@code nowNanos} is the current time, in nanoseconds of a monotonic clock. All methods are
 * called on one thread and never from within a {@link PolicyActions} call. An event for a request
 * that the policy has finished is ignored. No argument is null unless its description says so.
 */
public interface PolicyEvents {
  /**
   * The endpoint list was received, in full or as changes, or could not be received.
   *
   * @param entries the entries that {@code kind} describes
   */
  void endpointsUpdated(long nowNanos, EndpointListKind kind, List<Endpoint> entries);

  /**
   * A request was received. The policy ensures that it gets exactly one final answer, unless its
   * client disconnects: by {@link PolicyActions#reject}, {@link PolicyActions#fail} or an attempt
   * that ends with {@link AttemptResult#requestComplete}. A request with an unknown class or plan
   * is rejected immediately; one with the id of an unfinished request is ignored.
   */
  void requestReceived(long nowNanos, Request request);

  /** The host received a request that exceeds its capacity; the policy rejects it immediately. */
  void requestOverHostCapacity(long nowNanos, Request request);

  /** An attempt ended. The host reports exactly one end for each attempt. */
  void attemptEnded(long nowNanos, AttemptResult result);

  /** Streaming of a request's response started; the request's deadline no longer applies. */
  void streamStarted(long nowNanos, String requestId);

  /**
   * A part of a long request body was forwarded to the endpoint and is no longer buffered, so the
   * request cannot be retried. Until {@link #uploadCompleted} the attempt does not count as load on
   * the endpoint, which starts processing only when the body is complete.
   */
  void bodyForwarded(long nowNanos, String requestId);

  /**
   * The rest of a long request body was forwarded. The latency objective of the request and the
   * duration of the attempt are measured from now.
   */
  void uploadCompleted(long nowNanos, String requestId);

  /**
   * The client disconnected, so the request needs no answer. An attempt in flight is still reported
   * by {@link #attemptEnded}.
   */
  void clientDisconnected(long nowNanos, String requestId);

  /**
   * A call to the shared quota counter ended. Calls with the same key end in the order in which
   * they were made.
   *
   * @param key key of the total, as in {@link PolicyActions#addToCounter}
   * @param total the total after this call, in quota units; valid only with {@link Outcome#OK}
   */
  void counterReplied(long nowNanos, long key, Outcome outcome, double total);

  /**
   * A health check ended.
   *
   * @param durationNanos duration of the check in nanoseconds
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
   * @param token the token passed to {@link PolicyActions#scheduleTimer}
   */
  void timerFired(long nowNanos, long token);

  /**
   * An operator ejects an endpoint, whatever its state in the list, or readmits it. A readmitted
   * endpoint begins with a slow start.
   *
   * @return false if the endpoint is unknown, so that nothing was changed
   */
  boolean setEndpointEjected(long nowNanos, String endpointId, boolean ejected);

  /**
   * Restores the endpoints that operators ejected before this process started. Afterwards exactly
   * these endpoints are ejected by operators, whether or not they are in the list.
   */
  void restoreEjectedEndpoints(long nowNanos, Set<String> endpointIds);

  /**
   * An operator ejects a zone or readmits it. The endpoints of a readmitted zone begin with a slow
   * start, and its traffic grows linearly.
   *
   * @param zone index of the zone
   * @param rampNanos how long the traffic grows, in nanoseconds; used only for readmission
   * @return false if no other zone has an endpoint that may receive requests, so that the zone was
   *     not ejected
   */
  boolean setZoneEjected(long nowNanos, int zone, boolean ejected, long rampNanos);

  /**
   * Restores the zones that operators ejected before this process started. Afterwards exactly these
   * zones are ejected by operators. The traffic of any other zone that was ejected grows linearly
   * during {@link PlatformRules#slowStartNanos}.
   */
  void restoreEjectedZones(long nowNanos, Set<Integer> zones);

  /**
   * The fleet changed the traffic of a zone. An operator's decision on the same zone takes
   * precedence until a readmitted zone has its full traffic.
   *
   * @param zone index of the zone
   * @param ramp the zone's fraction of its usual traffic over time; null for its full traffic
   */
  void setZoneRamp(long nowNanos, int zone, TrafficRamp ramp);

  /**
   * Makes the first attempt of the next idempotent request a half-open attempt: it is sent to an
   * endpoint of this zone, which the fleet ejected.
   */
  void probeZone(long nowNanos, int zone);

  /**
   * Exports the state that another process needs to take over. This policy still completes its
   * requests, but its quota ceilings no longer refill.
   *
   * @return never null
   */
  StateTransfer exportState(long nowNanos);

  /**
   * Imports the state of the process that this one replaces. This policy may have received requests
   * already.
   */
  void importState(long nowNanos, StateTransfer state);
}

package edgegateway.policy.scheduling;

import edgegateway.policy.api.QuotaPlan;
import edgegateway.policy.api.Request;
import edgegateway.policy.api.RequestClass;
import edgegateway.policy.quota.QuotaReservation;
import edgegateway.policy.routing.EndpointTracker;
import edgegateway.policy.routing.RoutableRequest;

/** A request that was received and has no final answer yet, with the state of its attempts. */
public final class PendingRequest implements RoutableRequest {
  private final Request request;
  private final RequestClassQueue queue;
  private final QuotaReservation reservation;
  private final SendPermit permit;
  private final double virtualTimeAtArrival;
  private long arrivedAtNanos;
  private int attempts;
  private EndpointTracker endpoint;
  private long sentAtNanos;
  private long possibleExecutionSentAtNanos;
  private EndpointTracker possibleExecutionEndpoint;
  private boolean bodyForwarded;
  private boolean clientDisconnected;

  PendingRequest(
      Request request,
      RequestClassQueue queue,
      QuotaReservation reservation,
      SendPermit permit,
      long arrivedAtNanos,
      double virtualTimeAtArrival) {
    this.request = request;
    this.queue = queue;
    this.reservation = reservation;
    this.permit = permit;
    this.arrivedAtNanos = arrivedAtNanos;
    this.virtualTimeAtArrival = virtualTimeAtArrival;
  }

  /** The unique id of the request. */
  public String id() {
    return request.id();
  }

  /** The units that the request takes from the quota, as far as known at its arrival. */
  double units() {
    return request.units();
  }

  /** The queue of the request's class, whether or not the request waits in it. */
  public RequestClassQueue queue() {
    return queue;
  }

  /** The request's reservation in its customer's quota. */
  public QuotaReservation reservation() {
    return reservation;
  }

  @Override
  public RequestClass requestClass() {
    return queue.requestClass();
  }

  @Override
  public int attempts() {
    return attempts;
  }

  @Override
  public boolean mayHaveExecuted() {
    return possibleExecutionSentAtNanos != 0;
  }

  @Override
  public EndpointTracker possibleExecutionEndpoint() {
    return possibleExecutionEndpoint;
  }

  /**
   * When the first attempt that may have been executed was sent, in nanoseconds; 0 if there is
   * none.
   */
  public long possibleExecutionSentAtNanos() {
    return possibleExecutionSentAtNanos;
  }

  @Override
  public long sentAtNanos() {
    return sentAtNanos;
  }

  @Override
  public double expectedServiceSeconds() {
    return queue.serviceTime().expectedSeconds(request.units());
  }

  /**
   * When the request arrived, or when the forwarding of its long body was completed, in
   * nanoseconds.
   */
  long arrivedAtNanos() {
    return arrivedAtNanos;
  }

  /** The virtual time of the fair queue when the request arrived. */
  double virtualTimeAtArrival() {
    return virtualTimeAtArrival;
  }

  /** When the client stops waiting, in nanoseconds. */
  public long deadlineNanos() {
    return request.deadlineNanos();
  }

  /** When the latency objective ends, in nanoseconds: until then an answer has its full value. */
  public long objectiveAtNanos() {
    long objectiveAtNanos = arrivedAtNanos + requestClass().latencyObjectiveNanos();
    return Math.min(objectiveAtNanos, request.deadlineNanos());
  }

  /**
   * The value of answering the request: the priority weight of its class times the priority factor
   * of its plan. Over quota, this is multiplied by the fraction that the request still earns less
   * the fraction that forwarding it costs.
   */
  public double value() {
    QuotaPlan plan = reservation.quota().plan();
    double valueFraction =
        reservation.withinQuota()
            ? 1
            : plan.overQuotaValueFraction() - plan.overQuotaCostFraction();
    return requestClass().priorityWeight() * plan.priorityFactor() * valueFraction;
  }

  /** Whether the customer's concurrency cap allows the request to be sent now. */
  boolean isSendPermitted() {
    return permit.hasCapacity();
  }

  /** The endpoint of the attempt in progress; null if there is none. */
  public EndpointTracker endpoint() {
    return endpoint;
  }

  /**
   * Whether a part of the body was forwarded and is no longer buffered, so that no retry is
   * possible.
   */
  public boolean isBodyForwarded() {
    return bodyForwarded;
  }

  /** Whether the client has disconnected. */
  public boolean isClientDisconnected() {
    return clientDisconnected;
  }

  /** An attempt is sent now; the first one acquires the send permit. */
  public void attemptSent(EndpointTracker endpoint, long nowNanos) {
    if (attempts == 0) {
      permit.acquire();
    }
    attempts++;
    this.endpoint = endpoint;
    sentAtNanos = nowNanos;
  }

  /**
   * The attempt in progress ended.
   *
   * @param provesNotExecuted whether its outcome proves that the endpoint did not execute it
   */
  public void attemptEnded(boolean provesNotExecuted) {
    if (!provesNotExecuted && possibleExecutionSentAtNanos == 0) {
      possibleExecutionSentAtNanos = sentAtNanos;
      possibleExecutionEndpoint = endpoint;
    }
    endpoint = null;
  }

  /** A part of the body was forwarded and is no longer buffered. */
  public void bodyForwarded() {
    bodyForwarded = true;
  }

  /**
   * The body was forwarded completely. Latency, attempt duration and the latency objective are
   * measured from now, since the endpoint starts only when it has the complete body.
   */
  public void uploadCompleted(long nowNanos) {
    arrivedAtNanos = nowNanos;
    sentAtNanos = nowNanos;
  }

  /** The client has disconnected; the attempt in progress goes on. */
  public void clientDisconnected() {
    clientDisconnected = true;
  }

  /** Returns the send permit of a request that ended; the request must not be used afterwards. */
  public void finished() {
    if (attempts > 0) {
      permit.release();
    }
  }
}

package edgegateway.policy.scheduling;

import edgegateway.policy.api.QuotaPlan;
import edgegateway.policy.api.Request;
import edgegateway.policy.api.RequestClass;
import edgegateway.policy.quota.QuotaReservation;
import edgegateway.policy.routing.EndpointTracker;
import edgegateway.policy.routing.RoutableRequest;

/** A request that was received and has no final answer yet. */
public final class PendingRequest implements RoutableRequest {
  private final Request request;
  private final RequestClassQueue queue;
  private final QuotaReservation reservation;
  private final SendPermit permit;
  private final double virtualTimeAtArrival;
  private long arrivedNanos;
  private int attempts;
  private EndpointTracker endpoint;
  private long sentAtNanos;
  private long mayHaveExecutedSinceNanos;
  private EndpointTracker mayHaveExecutedAt;
  private boolean bodyForwarded;
  private boolean clientGone;

  PendingRequest(
      Request request,
      RequestClassQueue queue,
      QuotaReservation reservation,
      SendPermit permit,
      long arrivedNanos,
      double virtualTimeAtArrival) {
    this.request = request;
    this.queue = queue;
    this.reservation = reservation;
    this.permit = permit;
    this.arrivedNanos = arrivedNanos;
    this.virtualTimeAtArrival = virtualTimeAtArrival;
  }

  /** The request's name. */
  public String id() {
    return request.id();
  }

  /** The units that the request takes from the quota. */
  double units() {
    return request.units();
  }

  /** The queue of the request's class. */
  public RequestClassQueue queue() {
    return queue;
  }

  /** What the request holds of its customer's quota. */
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
    return mayHaveExecutedSinceNanos != 0;
  }

  @Override
  public EndpointTracker mayHaveExecutedAt() {
    return mayHaveExecutedAt;
  }

  /** When the first attempt that may have been executed was sent; 0 if there is none. */
  public long mayHaveExecutedSinceNanos() {
    return mayHaveExecutedSinceNanos;
  }

  @Override
  public long sentAtNanos() {
    return sentAtNanos;
  }

  @Override
  public double expectedServiceSeconds() {
    return queue.serviceTime().expectedSeconds(request.units());
  }

  /** When the request arrived; after a long body when its rest had been sent, in nanoseconds. */
  long arrivedNanos() {
    return arrivedNanos;
  }

  double virtualTimeAtArrival() {
    return virtualTimeAtArrival;
  }

  /** The moment at which the client stops waiting, in nanoseconds. */
  public long deadlineNanos() {
    return request.deadlineNanos();
  }

  /** The moment by which an answer has its whole value, in nanoseconds. */
  public long objectiveNanos() {
    long objective = arrivedNanos + requestClass().latencyObjectiveNanos();
    return Math.min(objective, request.deadlineNanos());
  }

  /**
   * The value of answering the request: its class's weight times its plan's price, and beyond the
   * quota only the part that it earns more than it costs.
   */
  public double value() {
    QuotaPlan plan = reservation.quota().plan();
    double earned =
        reservation.withinQuota()
            ? 1
            : plan.overQuotaValueFraction() - plan.overQuotaCostFraction();
    return requestClass().priorityWeight() * plan.priorityFactor() * earned;
  }

  /** Whether the customer's concurrency cap lets the request be sent now. */
  boolean mayBeSent() {
    return permit.hasRoom();
  }

  /** The endpoint of the present attempt; null if none is in progress. */
  public EndpointTracker endpoint() {
    return endpoint;
  }

  /** Whether a part of the body was forwarded and is no longer held: no retry is possible. */
  public boolean isBodyForwarded() {
    return bodyForwarded;
  }

  /** Whether the client has disconnected. */
  public boolean isClientGone() {
    return clientGone;
  }

  /** An attempt is sent now. */
  public void attemptSent(EndpointTracker to, long nowNanos) {
    if (attempts == 0) {
      permit.acquire();
    }
    attempts++;
    endpoint = to;
    sentAtNanos = nowNanos;
  }

  /**
   * The present attempt ended.
   *
   * @param provesNotExecuted whether it proved that it had no effect
   */
  public void attemptEnded(boolean provesNotExecuted) {
    if (!provesNotExecuted && mayHaveExecutedSinceNanos == 0) {
      mayHaveExecutedSinceNanos = sentAtNanos;
      mayHaveExecutedAt = endpoint;
    }
    endpoint = null;
  }

  /** A part of the body was forwarded and is no longer held. */
  public void bodyForwarded() {
    bodyForwarded = true;
  }

  /** The endpoint has the whole body only now: the spans count from this moment. */
  public void uploadCompleted(long nowNanos) {
    arrivedNanos = nowNanos;
    sentAtNanos = nowNanos;
  }

  /** The client has disconnected. */
  public void clientDisconnected() {
    clientGone = true;
  }

  /** The request is over; it must not be used any more. */
  public void finished() {
    if (attempts > 0) {
      permit.release();
    }
  }
}

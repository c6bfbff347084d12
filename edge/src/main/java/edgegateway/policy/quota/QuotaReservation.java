package edgegateway.policy.quota;

import edgegateway.policy.api.Request;

/** The units that one request holds of its customer's quota. Only the quota changes it. */
public final class QuotaReservation {
  private final CustomerQuota quota;
  private final Request request;
  private boolean charged;
  private boolean withinQuota;
  private boolean awaitingCounter;
  private double retryAfterSeconds;

  QuotaReservation(CustomerQuota quota, Request request) {
    this.quota = quota;
    this.request = request;
  }

  /** The quota of the request's customer. */
  public CustomerQuota quota() {
    return quota;
  }

  /** Whether the request is within the quota; false before the decision and for over-quota ones. */
  public boolean withinQuota() {
    return withinQuota;
  }

  /** Whether the decision waits for the shared counter. */
  public boolean awaitingCounter() {
    return awaitingCounter;
  }

  /** After a rejection: seconds until the quota should have room for the request. */
  public double retryAfterSeconds() {
    return retryAfterSeconds;
  }

  String requestId() {
    return request.id();
  }

  double units() {
    return request.units();
  }

  boolean clientRetry() {
    return request.clientRetry();
  }

  boolean charged() {
    return charged;
  }

  void charge() {
    charged = true;
    withinQuota = true;
  }

  void setWithinQuota(boolean within) {
    withinQuota = within;
  }

  void setAwaitingCounter(boolean awaiting) {
    awaitingCounter = awaiting;
  }

  QuotaDecision reject(double secondsUntilRoom) {
    retryAfterSeconds = secondsUntilRoom;
    return QuotaDecision.REJECTED;
  }
}

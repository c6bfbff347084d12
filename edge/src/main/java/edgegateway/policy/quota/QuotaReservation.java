package edgegateway.policy.quota;

import edgegateway.policy.api.Request;

/** The units that one request holds of its customer's quota. Only the quota code changes it. */
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

  /**
   * Whether the request is within the quota: false before it is charged, true from then on unless
   * the quota decides that it is over quota.
   */
  public boolean withinQuota() {
    return withinQuota;
  }

  /** Whether the decision waits for a reply of the shared counter. */
  public boolean awaitingCounter() {
    return awaitingCounter;
  }

  /** After a rejection: seconds until the quota should have enough units for the request. */
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

  /** Whether the units were charged to the quota. */
  boolean charged() {
    return charged;
  }

  /**
   * Records that the units were charged; the request counts as within the quota until the decision.
   */
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

  /**
   * Rejects the request.
   *
   * @param secondsUntilAvailable seconds until the quota should have enough units for it
   */
  QuotaDecision reject(double secondsUntilAvailable) {
    retryAfterSeconds = secondsUntilAvailable;
    return QuotaDecision.REJECTED;
  }
}

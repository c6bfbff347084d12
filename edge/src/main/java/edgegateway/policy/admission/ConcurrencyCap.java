package edgegateway.policy.admission;

import edgegateway.policy.scheduling.SendPermit;

/**
 * This node's part of a plan's cap on one customer's concurrent requests. Nodes do not exchange how
 * many requests they have in flight, so the cap is divided evenly by the customer's nodes, with at
 * least one request in flight on each.
 */
public final class ConcurrencyCap implements SendPermit {
  private final int maxInFlight;
  private int inFlight;

  ConcurrencyCap(int maxInFlight) {
    this.maxInFlight = maxInFlight;
  }

  @Override
  public boolean hasCapacity() {
    return inFlight < maxInFlight;
  }

  @Override
  public void acquire() {
    inFlight++;
  }

  @Override
  public void release() {
    inFlight--;
  }
}

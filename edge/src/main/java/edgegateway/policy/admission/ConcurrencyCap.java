package edgegateway.policy.admission;

import edgegateway.policy.scheduling.SendPermit;

/**
 * The cap of a plan on one customer's concurrent requests, as far as this node goes: no node tells
 * another how many it has in flight, so the cap is divided by the customer's nodes, and each may
 * have one request in flight.
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

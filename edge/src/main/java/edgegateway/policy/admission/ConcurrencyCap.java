package edgegateway.policy.admission;

/**
 * The cap of a plan on one customer's concurrent requests, as far as this node goes: no node tells
 * another how many it has in flight, so the cap is divided by the customer's nodes, and each may
 * have one request in flight.
 */
public final class ConcurrencyCap {
  private final int maxInFlight;
  private int inFlight;

  ConcurrencyCap(int maxInFlight) {
    this.maxInFlight = maxInFlight;
  }

  /** Whether one more request of the customer may be sent now. */
  public boolean hasRoom() {
    return inFlight < maxInFlight;
  }

  /** Counts a request that is sent for the first time. */
  public void acquire() {
    inFlight++;
  }

  /** Counts the end of a request that was sent. */
  public void release() {
    inFlight--;
  }
}

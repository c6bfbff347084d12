package edgegateway.policy.quota;

import edgegateway.policy.api.QuotaPlan;

/**
 * This node's token bucket for a plan's hard ceiling: the ceiling's rate and burst, divided evenly
 * by the customer's nodes. The ceiling therefore holds without any information about the other
 * nodes. The bucket starts empty because a restarted node cannot know what it spent before.
 */
final class CeilingBucket {
  private final QuotaPlan plan;
  private final int customerNodes;
  private boolean refills = true;
  private double tokens;

  CeilingBucket(QuotaPlan plan, int customerNodes) {
    this.plan = plan;
    this.customerNodes = customerNodes;
  }

  /** Adds the tokens gained in an interval. */
  void refill(double seconds) {
    double gainedUnits = refills ? seconds * plan.ceilingUnitsPerSecond() / customerNodes : 0;
    add(gainedUnits);
  }

  /** Adds tokens, in units, up to the bucket's capacity. */
  void add(double units) {
    tokens = Math.min(plan.ceilingBurstUnits() / customerNodes, tokens + units);
  }

  /** Whether the bucket is full; always true for a plan without a ceiling. */
  boolean isFull() {
    return plan.ceilingUnitsPerSecond() <= 0 || tokens >= plan.ceilingBurstUnits() / customerNodes;
  }

  /**
   * Whether the bucket holds enough tokens for a request; always true for a plan without a ceiling.
   */
  boolean hasCapacityFor(double units) {
    return plan.ceilingUnitsPerSecond() <= 0 || tokens >= units;
  }

  /** Returns the seconds until the bucket holds that many units; only for a plan with a ceiling. */
  double secondsUntilAvailable(double units) {
    return (units - tokens) * customerNodes / plan.ceilingUnitsPerSecond();
  }

  void acquire(double units) {
    tokens -= units;
  }

  /** Gives back units that were acquired but not used. */
  void release(double units) {
    tokens += units;
  }

  /**
   * Removes half of the tokens for the process that replaces this one.
   *
   * @return the tokens removed, which equal those that remain, in units
   */
  double exportHalf() {
    tokens /= 2;
    return tokens;
  }

  /** Stops the refill, since the new process now has the whole rate. */
  void stopRefill() {
    refills = false;
  }
}

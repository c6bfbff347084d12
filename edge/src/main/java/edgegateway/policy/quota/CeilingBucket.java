package edgegateway.policy.quota;

import edgegateway.policy.api.QuotaPlan;

/**
 * This node's even part of the token bucket of a plan's hard ceiling. It holds whatever the other
 * nodes do. It starts empty: a restarted node can't know what it spent before.
 */
final class CeilingBucket {
  private final QuotaPlan plan;
  private final int nodes;
  private boolean refills = true;
  private double tokens;

  CeilingBucket(QuotaPlan plan, int nodes) {
    this.plan = plan;
    this.nodes = nodes;
  }

  /** Adds what the bucket gains in a span. */
  void refill(double seconds) {
    double gained = refills ? seconds * plan.ceilingUnitsPerSecond() / nodes : 0;
    add(gained);
  }

  /** Adds units up to the bucket's capacity. */
  void add(double units) {
    tokens = Math.min(plan.ceilingBurstUnits() / nodes, tokens + units);
  }

  /** Whether units may be used; always true for a plan without a ceiling. */
  boolean hasRoomFor(double units) {
    return plan.ceilingUnitsPerSecond() <= 0 || tokens >= units;
  }

  /** The seconds until units may be used; only for a plan with a ceiling. */
  double secondsUntilRoomFor(double units) {
    return (units - tokens) * nodes / plan.ceilingUnitsPerSecond();
  }

  void acquire(double units) {
    tokens -= units;
  }

  /** Gives units back that were not used. */
  void release(double units) {
    tokens += units;
  }

  /**
   * Keeps half of the tokens and returns how many that is: the other half goes to the new process.
   */
  double exportHalf() {
    tokens /= 2;
    return tokens;
  }

  /** From now on the bucket gains nothing: the new process has the rate. */
  void stopRefill() {
    refills = false;
  }
}

package edgegateway.policy.quota;

import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.QuotaPlan;
import edgegateway.policy.api.QuotaUsage;
import edgegateway.policy.api.Request;
import edgegateway.policy.time.Durations;

/**
 * The quota of one customer. It decides on each of the customer's requests by the hard ceiling, by
 * the estimate of the token bucket that all nodes share and, while that estimate is stale, by this
 * node's local share of the quota.
 */
public final class CustomerQuota {
  /** The minimum time to the next report by the timer while the bucket is less than half full. */
  private static final long REPORT_PERIOD_NANOS = Durations.NANOS_PER_SECOND / 4;

  /** The minimum time to the next report by the timer while the bucket is at least half full. */
  private static final long REPORT_PERIOD_FAR_FROM_QUOTA_NANOS = Durations.NANOS_PER_SECOND;

  /**
   * While the counter is reachable, the local share is this multiple of an even split of the quota,
   * because customers' requests are spread unevenly over the nodes.
   */
  private static final double UNEVEN_TRAFFIC_FACTOR = 1.5;

  /** An estimate older than a quarter of a counting window is refreshed before admission. */
  private static final int FRESHNESS_WINDOW_DIVISOR = 4;

  /**
   * The urgency of reports is relative to the remaining quota, taken to be at least 1/8 of the
   * burst.
   */
  private static final int MIN_REMAINING_BURST_DIVISOR = 8;

  /** Smaller amounts are not reported, and reports are rounded to a multiple of this. */
  private static final double REPORT_STEP_UNITS = 1e-6;

  private static final double REPORT_STEPS_PER_UNIT = 1e6;

  private final long customer;
  private final int planIndex;
  private final QuotaPlan plan;
  private final int customerNodes;
  private final boolean usesCounter;
  private final QuotaContext context;
  private final CountingWindows windows;
  private final UsageEstimate estimate;
  private final CeilingBucket ceiling;

  /**
   * The tokens of the local share, in units: what this node may admit without current totals from
   * the counter.
   */
  private double localShare;

  private double unreportedUnits;
  private int openRequests;
  private long refilledAtNanos;
  private long lastUsedNanos;
  private long nextReportNanos;

  /**
   * Creates the quota of a customer that is not known.
   *
   * @param emptySinceNanos when the customer can last have used its quota
   */
  CustomerQuota(
      long customer, int planIndex, int declaredNodes, QuotaContext context, long emptySinceNanos) {
    this.customer = customer;
    this.planIndex = planIndex;
    this.context = context;
    plan = context.settings().quotaPlans().get(planIndex);
    customerNodes = Math.max(1, Math.min(declaredNodes, context.settings().nodeCount()));
    usesCounter = customerNodes > 1 && context.settings().counter().configured();
    windows = new CountingWindows(customer, plan);
    estimate = new UsageEstimate(context.clock(), plan, context.settings().counter(), windows);
    ceiling = new CeilingBucket(plan, customerNodes);
    localShare = localShareCapacity(1);
    refilledAtNanos = emptySinceNanos;
    lastUsedNanos = emptySinceNanos;
    // Spread the reports of all quotas over time: sent together they would overload the counter.
    nextReportNanos = context.clock().nowNanos() + context.random().nextLong(REPORT_PERIOD_NANOS);
  }

  /** The key of the customer. */
  long customer() {
    return customer;
  }

  /** When units were last charged. */
  long lastUsedNanos() {
    return lastUsedNanos;
  }

  /** Whether a request of the customer has not ended. */
  boolean hasOpenRequests() {
    return openRequests > 0;
  }

  /** A request for which a reservation was created has ended. */
  void requestEnded() {
    openRequests--;
  }

  /** Whether all buckets are full again, so that the quota is that of a customer not seen yet. */
  boolean isRefilled() {
    refill();
    return estimate.tokens() >= plan.burstUnits() && ceiling.isFull();
  }

  /** The customer's plan. */
  public QuotaPlan plan() {
    return plan;
  }

  /** The number of nodes that receive the customer's requests, at least 1 and at most all nodes. */
  public int customerNodeCount() {
    return customerNodes;
  }

  /** Creates the reservation of a request; it does not hold any units yet. */
  public QuotaReservation newReservation(Request request) {
    openRequests++;
    return new QuotaReservation(this, request);
  }

  /** Adds to all token buckets what they gained since the last refill. */
  private void refill() {
    double seconds = context.clock().secondsSince(refilledAtNanos);
    refilledAtNanos = context.clock().nowNanos();
    estimate.refill(seconds);
    double shareFactor = context.availability().unreachable() ? 1 : UNEVEN_TRAFFIC_FACTOR;
    double gainedUnits = seconds * shareFactor * plan.unitsPerSecond() / customerNodes;
    localShare = Math.min(localShareCapacity(shareFactor), localShare + gainedUnits);
    ceiling.refill(seconds);
  }

  /**
   * Returns the capacity of the local share, in units: a part of the burst, but at least the units
   * of the largest request and at most the whole burst.
   *
   * @param shareFactor the multiple of an even split of the quota
   */
  private double localShareCapacity(double shareFactor) {
    double share = shareFactor * plan.burstUnits() / customerNodes;
    double minCapacity = context.settings().counter().maxRequestUnits();
    return Math.min(plan.burstUnits(), Math.max(share, minCapacity));
  }

  /**
   * Decides on a request at once, or calls the counter first if the estimate is old and a wrong
   * decision would be costly.
   *
   * @param reservation the request's reservation, which does not hold any units yet
   * @param priorityWeight the weight of the request's class
   * @param objectiveAtNanos the time by which the request should be answered
   */
  QuotaDecision admit(QuotaReservation reservation, double priorityWeight, long objectiveAtNanos) {
    refill();
    double units = reservation.units();
    if (!ceiling.hasCapacityFor(units)) {
      return reservation.reject(ceiling.secondsUntilAvailable(units));
    }
    ceiling.acquire(units);
    consume(units);
    reservation.charge();
    double priority =
        context
            .callPriority()
            .compute(
                reservation,
                priorityWeight,
                plan,
                customerNodes,
                context.settings().nodeCount(),
                localShare >= units);
    if (shouldCallCounter(objectiveAtNanos) && context.budget().tryAcquire(priority)) {
      reservation.setAwaitingCounter(true);
      report(reservation);
      return QuotaDecision.AWAITING_COUNTER;
    }
    return decide(reservation, false);
  }

  /**
   * Whether over-quota requests cost at least what they earn, the estimate is old, and there is
   * time for a call to the counter.
   *
   * @param objectiveAtNanos the time by which the request should be answered
   */
  private boolean shouldCallCounter(long objectiveAtNanos) {
    boolean overQuotaIsCostly =
        plan.unitsPerSecond() > 0 && plan.overQuotaValueFraction() <= plan.overQuotaCostFraction();
    long now = context.clock().nowNanos();
    long maxFreshAgeNanos = windows.lengthNanos() / FRESHNESS_WINDOW_DIVISOR;
    return overQuotaIsCostly
        && now - estimate.lastUpdateNanos() > maxFreshAgeNanos
        && usesCounter
        && !context.availability().unreachable()
        && now + 2 * context.settings().counter().timeoutNanos() < objectiveAtNanos;
  }

  /**
   * Decides on a charged request: by the total just received, by the estimate or, if that is stale,
   * by the local share. An over-quota request is admitted where it earns more than it costs.
   *
   * @param reservation the reservation of the charged request
   * @param totalJustApplied whether the counter's reply to this request has just been applied
   */
  QuotaDecision decide(QuotaReservation reservation, boolean totalJustApplied) {
    double units = reservation.units();
    boolean withinQuota = plan.unitsPerSecond() <= 0 || isWithinQuota(units, totalJustApplied);
    reservation.setWithinQuota(withinQuota);
    if (withinQuota) {
      localShare = Math.max(0, localShare - units);
    } else {
      consume(-units);
    }
    if (withinQuota || plan.overQuotaValueFraction() > plan.overQuotaCostFraction()) {
      return QuotaDecision.ADMITTED;
    }
    return reservation.reject((units - estimate.tokens()) / plan.unitsPerSecond());
  }

  private boolean isWithinQuota(double units, boolean totalJustApplied) {
    if (customerNodes > 1 && estimate.isStale()) {
      return localShare >= units;
    }
    // Until the next report, remote usage continues without being known here.
    double reserve =
        totalJustApplied
            ? 0
            : estimate.remoteUnitsPerSecond() * REPORT_PERIOD_NANOS * Durations.SECONDS_PER_NANO;
    return estimate.tokens() >= reserve;
  }

  /** Replaces the units of a request within the quota by the actual units from its answer. */
  void applyActualUnits(QuotaReservation reservation, double actualUnits) {
    consume(actualUnits - reservation.units());
  }

  /** Gives back the units of a request that was never sent to an endpoint. */
  void release(QuotaReservation reservation) {
    if (!reservation.charged()) {
      return;
    }
    ceiling.release(reservation.units());
    if (reservation.withinQuota()) {
      consume(-reservation.units());
    }
  }

  /** Charges units used here; a negative number gives units back. */
  private void consume(double units) {
    lastUsedNanos = context.clock().nowNanos();
    if (plan.unitsPerSecond() > 0) {
      unreportedUnits += units;
      estimate.consume(units);
      context.unreported().add(this);
    }
  }

  /** The earliest time of the next report. */
  long nextReportNanos() {
    return nextReportNanos;
  }

  /**
   * How urgent a report is: the units that the other nodes do not know of, relative to the
   * remaining quota.
   */
  double reportUrgency() {
    double remainingUnits =
        Math.max(estimate.tokens(), plan.burstUnits() / MIN_REMAINING_BURST_DIVISOR);
    return Math.abs(unreportedUnits) * customerNodes / 2 / remainingUnits;
  }

  /**
   * Discards unreported usage that need not be reported: it is too small or too old to matter, or
   * the quota does not use the counter.
   *
   * @return whether nothing remains to be reported
   */
  boolean discardNegligibleUsage() {
    boolean recent = context.clock().nowNanos() - lastUsedNanos < windows.lengthNanos();
    boolean reportNeeded = Math.abs(unreportedUnits) > REPORT_STEP_UNITS && recent && usesCounter;
    if (!reportNeeded) {
      unreportedUnits = 0;
    }
    return !reportNeeded;
  }

  /** Reports the unreported usage to the counter. */
  void report() {
    report(null);
  }

  private void report(QuotaReservation reservation) {
    long window = estimate.enterCurrentWindow();
    double units = Math.rint(unreportedUnits * REPORT_STEPS_PER_UNIT) * REPORT_STEP_UNITS;
    boolean nearQuota = estimate.tokens() < plan.burstUnits() / 2;
    nextReportNanos =
        context.clock().nowNanos()
            + (nearQuota ? REPORT_PERIOD_NANOS : REPORT_PERIOD_FAR_FROM_QUOTA_NANOS);
    unreportedUnits = 0;
    context.calls().send(this, windows, window, units, reservation);
  }

  /**
   * Applies the end of a call to the usage and the estimate.
   *
   * @param total the total units of all nodes in the call's window; valid only with {@link
   *     Outcome#OK}
   */
  void callEnded(CounterCall call, Outcome outcome, double total) {
    if (outcome.provesNotExecuted()) {
      unreportedUnits += call.units();
      context.unreported().add(this);
    } else {
      // Without an answer, the counter may or may not have added the units. If it has not, the next
      // total may look as if the counter had lost its counts.
      estimate.addLocalUsage(call.window(), call.units());
    }
    refill();
    if (outcome == Outcome.OK && call.window() == estimate.window()) {
      estimate.applyTotal(call.units(), total, unreportedUnits);
    }
  }

  /**
   * Returns the state for the process that replaces this one: all of it, but only half of the
   * ceiling's present tokens.
   */
  QuotaUsage exportUsage() {
    refill();
    QuotaUsage usage =
        new QuotaUsage(
            customer,
            planIndex,
            customerNodes,
            estimate.window(),
            estimate.localUsage(),
            estimate.remoteUsage(),
            estimate.tokens(),
            estimate.remoteUnitsPerSecond(),
            estimate.predictedRemoteUsage(),
            unreportedUnits,
            ceiling.exportHalf(),
            estimate.lastUpdateNanos());
    // The new process reports this usage; reporting it here too would count it twice.
    unreportedUnits = 0;
    return usage;
  }

  /**
   * Stops the refill of the ceiling's token bucket, since the new process now has the whole rate.
   */
  void stopCeilingRefill() {
    ceiling.stopRefill();
  }

  /** Continues from the state of the process that this one replaces. */
  void importUsage(QuotaUsage usage) {
    refill();
    estimate.importFrom(usage, unreportedUnits);
    unreportedUnits += usage.unreportedUnits();
    ceiling.add(usage.ceilingTokens());
    lastUsedNanos = context.clock().nowNanos();
    context.unreported().add(this);
  }
}

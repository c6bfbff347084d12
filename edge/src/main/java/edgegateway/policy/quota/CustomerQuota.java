package edgegateway.policy.quota;

import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.QuotaPlan;
import edgegateway.policy.api.QuotaUsage;
import edgegateway.policy.api.Request;
import edgegateway.policy.time.Durations;

/**
 * The quota of one customer: decides on each of its requests by the ceiling, the estimated token
 * bucket and, without news from the counter, the local share of the quota.
 */
public final class CustomerQuota {
  private static final long REPORT_PERIOD_NANOS = Durations.NANOS_PER_SECOND / 4;
  private static final long REPORT_PERIOD_FULL_BUCKET_NANOS = Durations.NANOS_PER_SECOND;

  /**
   * A node's part of a quota while the counter answers, in even parts: customers come unevenly to
   * the nodes.
   */
  private static final double UNEVEN_SHARE_FACTOR = 1.5;

  /** The estimate is refreshed before admission if older than a quarter of a counting window. */
  private static final int FRESH_PARTS_OF_WINDOW = 4;

  /** The least room that urgency is measured by, as a part of the burst. */
  private static final int MIN_ROOM_PARTS_OF_BURST = 8;

  /** Less is not reported, and reports are rounded to this. */
  private static final double REPORT_STEP_UNITS = 1e-6;

  private static final double REPORT_STEPS_PER_UNIT = 1e6;

  private final long customer;
  private final int planIndex;
  private final QuotaPlan plan;
  private final int nodes;
  private final boolean shared;
  private final QuotaContext context;
  private final CountingWindows windows;
  private final UsageEstimate estimate;
  private final CeilingBucket ceiling;

  /** Units that this node may admit without news of the others. */
  private double localShare;

  private double unreportedUnits;
  private long refilledAtNanos;
  private long lastUsedNanos;
  private long nextReportNanos;

  CustomerQuota(long customer, int planIndex, int customerNodes, QuotaContext context) {
    this.customer = customer;
    this.planIndex = planIndex;
    this.context = context;
    plan = context.settings().quotaPlans().get(planIndex);
    nodes = Math.max(1, Math.min(customerNodes, context.settings().nodeCount()));
    shared = nodes > 1 && context.settings().counter().present();
    windows = new CountingWindows(customer, plan);
    estimate = new UsageEstimate(context.clock(), plan, context.settings().counter(), windows);
    ceiling = new CeilingBucket(plan, nodes);
    localShare = localShareCapacity(1);
    refilledAtNanos = context.clock().startNanos();
    // Reports are spread in time: all at once they would crowd the counter.
    nextReportNanos = context.clock().nowNanos() + context.random().nextLong(REPORT_PERIOD_NANOS);
  }

  /** The customer's plan. */
  public QuotaPlan plan() {
    return plan;
  }

  /** How many nodes the customer comes through, 1 or more. */
  public int customerNodeCount() {
    return nodes;
  }

  /** Creates the reservation of a request, which holds nothing yet. */
  public QuotaReservation newReservation(Request request) {
    return new QuotaReservation(this, request);
  }

  private void refill() {
    double seconds = context.clock().secondsSince(refilledAtNanos);
    refilledAtNanos = context.clock().nowNanos();
    estimate.refill(seconds);
    double factor = context.availability().unreachable() ? 1 : UNEVEN_SHARE_FACTOR;
    double gained = seconds * factor * plan.unitsPerSecond() / nodes;
    localShare = Math.min(localShareCapacity(factor), localShare + gained);
    ceiling.refill(seconds);
  }

  private double localShareCapacity(double factor) {
    double share = factor * plan.burstUnits() / nodes;
    double atLeast = context.settings().counter().maxRequestUnits();
    return Math.min(plan.burstUnits(), Math.max(share, atLeast));
  }

  /**
   * Decides on a request: at once if the estimate is fresh, else after its units were reported to
   * the counter.
   *
   * @param priorityWeight the weight of the request's class
   * @param objectiveNanos the moment by which the request should be answered
   */
  QuotaDecision admit(QuotaReservation reservation, double priorityWeight, long objectiveNanos) {
    refill();
    double units = reservation.units();
    if (!ceiling.hasRoomFor(units)) {
      return reservation.reject(ceiling.secondsUntilRoomFor(units));
    }
    ceiling.acquire(units);
    consume(units);
    reservation.charge();
    double priority =
        context
            .priority()
            .of(
                reservation,
                priorityWeight,
                plan,
                nodes,
                context.settings().nodeCount(),
                localShare >= units);
    if (counterMayDecide(objectiveNanos) && context.budget().tryAcquire(priority)) {
      reservation.setAwaitingCounter(true);
      report(reservation);
      return QuotaDecision.AWAITING_COUNTER;
    }
    return decide(reservation, false);
  }

  /** Whether over-quota requests cost, the estimate is old, and there is time to ask. */
  private boolean counterMayDecide(long objectiveNanos) {
    boolean overQuotaCosts =
        plan.unitsPerSecond() > 0 && plan.overQuotaValueFraction() <= plan.overQuotaCostFraction();
    long now = context.clock().nowNanos();
    long freshNanos = windows.lengthNanos() / FRESH_PARTS_OF_WINDOW;
    return overQuotaCosts
        && now - estimate.lastUpdateNanos() > freshNanos
        && shared
        && !context.availability().unreachable()
        && now + 2 * context.settings().counter().timeoutNanos() < objectiveNanos;
  }

  /**
   * Decides on a charged request: by the total just reported, by the estimate, or, if that is
   * stale, by the local share. An over-quota request is admitted where it earns more than it costs.
   *
   * @param totalJustReported whether the counter's reply to this request has just been applied
   */
  QuotaDecision decide(QuotaReservation reservation, boolean totalJustReported) {
    double units = reservation.units();
    boolean within = plan.unitsPerSecond() <= 0 || hasRoom(units, totalJustReported);
    reservation.setWithinQuota(within);
    if (within) {
      localShare = Math.max(0, localShare - units);
    } else {
      consume(-units);
    }
    if (within || plan.overQuotaValueFraction() > plan.overQuotaCostFraction()) {
      return QuotaDecision.ADMITTED;
    }
    return reservation.reject((units - estimate.tokens()) / plan.unitsPerSecond());
  }

  private boolean hasRoom(double units, boolean totalJustReported) {
    if (nodes > 1 && estimate.isStale()) {
      return localShare >= units;
    }
    // Until the next report, remote usage goes on unseen.
    double reserve =
        totalJustReported
            ? 0
            : estimate.remoteUnitsPerSecond() * REPORT_PERIOD_NANOS * Durations.SECONDS_PER_NANO;
    return estimate.tokens() >= reserve;
  }

  /**
   * Replaces the units of a request within the quota by the true ones, which came with an answer.
   */
  void correct(QuotaReservation reservation, double actualUnits) {
    consume(actualUnits - reservation.units());
  }

  /** Gives back what a request holds that was never sent. */
  void release(QuotaReservation reservation) {
    if (!reservation.charged()) {
      return;
    }
    ceiling.release(reservation.units());
    if (reservation.withinQuota()) {
      consume(-reservation.units());
    }
  }

  private void consume(double units) {
    if (plan.unitsPerSecond() > 0) {
      unreportedUnits += units;
      estimate.consume(units);
      lastUsedNanos = context.clock().nowNanos();
      context.unreported().add(this);
    }
  }

  /** The earliest moment of the next report, in nanoseconds. */
  long nextReportNanos() {
    return nextReportNanos;
  }

  /**
   * How urgent a report is: what the other nodes don't know of, against the room left in the quota.
   */
  double reportUrgency() {
    double room = Math.max(estimate.tokens(), plan.burstUnits() / MIN_ROOM_PARTS_OF_BURST);
    return Math.abs(unreportedUnits) * nodes / 2 / room;
  }

  /**
   * Discards what is left to report if it is too little, or too old to matter.
   *
   * @return whether nothing is left to report
   */
  boolean discardIfSettled() {
    boolean recent = context.clock().nowNanos() - lastUsedNanos < windows.lengthNanos();
    boolean toReport = Math.abs(unreportedUnits) > REPORT_STEP_UNITS && recent && shared;
    if (!toReport) {
      unreportedUnits = 0;
    }
    return !toReport;
  }

  /** Reports the usage to the counter. */
  void report() {
    report(null);
  }

  private void report(QuotaReservation reservation) {
    long window = estimate.enterPresentWindow();
    double units = Math.rint(unreportedUnits * REPORT_STEPS_PER_UNIT) * REPORT_STEP_UNITS;
    boolean nearQuota = estimate.tokens() < plan.burstUnits() / 2;
    nextReportNanos =
        context.clock().nowNanos()
            + (nearQuota ? REPORT_PERIOD_NANOS : REPORT_PERIOD_FULL_BUCKET_NANOS);
    unreportedUnits = 0;
    context.calls().send(this, windows, window, units, reservation);
  }

  /** Applies the end of a call to the usage and the estimate. */
  void callEnded(CounterCall call, Outcome outcome, double total) {
    if (outcome.provesNotExecuted()) {
      unreportedUnits += call.units();
      context.unreported().add(this);
    } else {
      // Without an answer it may have been added; if not, the next total looks like lost counts.
      estimate.addLocalUsage(call.window(), call.units());
    }
    refill();
    if (outcome == Outcome.OK && call.window() == estimate.window()) {
      estimate.applyTotal(call.units(), total, unreportedUnits);
    }
  }

  /** Hands the state over: all of it, and half of what the ceiling allows now. */
  QuotaUsage exportUsage() {
    refill();
    QuotaUsage usage =
        new QuotaUsage(
            customer,
            planIndex,
            nodes,
            estimate.window(),
            estimate.localUsage(),
            estimate.remoteUsage(),
            estimate.tokens(),
            estimate.remoteUnitsPerSecond(),
            estimate.predictedRemoteUsage(),
            unreportedUnits,
            ceiling.exportHalf(),
            estimate.lastUpdateNanos());
    // The new process reports it: nothing may be counted twice.
    unreportedUnits = 0;
    return usage;
  }

  /** From now on the ceiling's bucket gains nothing: the new process has its rate. */
  void stopCeilingRefill() {
    ceiling.stopRefill();
  }

  /** Goes on from the state of the process that this one replaces. */
  void importUsage(QuotaUsage usage) {
    refill();
    estimate.importFrom(usage, unreportedUnits);
    unreportedUnits += usage.unreportedUnits();
    ceiling.add(usage.ceilingTokens());
    lastUsedNanos = context.clock().nowNanos();
    context.unreported().add(this);
  }
}

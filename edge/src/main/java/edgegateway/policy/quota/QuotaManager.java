package edgegateway.policy.quota;

import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.PolicyActions;
import edgegateway.policy.api.PolicySettings;
import edgegateway.policy.api.QuotaUsage;
import edgegateway.policy.api.Request;
import edgegateway.policy.time.EventClock;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;

/**
 * Manages the quotas of all customers and the calls to the shared counter.
 *
 * <p>Not thread-safe: like the policy, it is called from one thread.
 */
public final class QuotaManager {
  /** Is notified when a request's wait for the shared counter has ended. */
  @FunctionalInterface
  public interface CounterWaitListener {
    /**
     * The wait has ended; {@link QuotaManager#decide} must be called unless the client has
     * disconnected.
     *
     * @param requestId the id of the request that waited
     * @param answered whether the counter answered; false after an error or a timeout
     */
    void counterWaitEnded(String requestId, boolean answered);
  }

  /**
   * A request waits for the counter at most this many timeouts, so that it is answered even if the
   * host never reports the end of the call.
   */
  private static final int MAX_COUNTER_WAIT_TIMEOUTS = 2;

  private final PolicySettings settings;
  private final EventClock clock;
  private final CounterWaitListener listener;
  private final CounterAvailability availability;
  private final CounterCallBudget budget;
  private final CounterCalls calls;
  private final UnreportedUsage unreported;
  private final QuotaContext context;
  private final CustomerTable customers = new CustomerTable();
  private final LongConsumer onCustomerForgotten;
  private boolean handedOver;

  /** When any customer that is not in the table used its quota last, if at all. */
  private long forgottenUsedNanos;

  /**
   * Creates the manager without customers; the counter's call budget draws once from {@code
   * random}.
   *
   * @param onCustomerForgotten called with the key of a customer of which nothing is known any more
   */
  public QuotaManager(
      PolicySettings settings,
      EventClock clock,
      SplittableRandom random,
      PolicyActions actions,
      CounterWaitListener listener,
      LongConsumer onCustomerForgotten) {
    this.settings = settings;
    this.clock = clock;
    this.listener = listener;
    this.onCustomerForgotten = onCustomerForgotten;
    forgottenUsedNanos = clock.startNanos();
    availability = new CounterAvailability(clock, actions);
    budget = new CounterCallBudget(clock, random, availability, settings.counter().timeoutNanos());
    calls = new CounterCalls(clock, actions, availability);
    unreported = new UnreportedUsage(clock, budget);
    context =
        new QuotaContext(
            settings, clock, random, availability, budget, calls, unreported, new CallPriority());
  }

  /** Creates the reservation of a request, whose plan must be one of the settings. */
  public QuotaReservation newReservation(Request request) {
    return customer(request.customer(), request.plan(), request.customerNodeCount())
        .newReservation(request);
  }

  private CustomerQuota customer(long key, int plan, int customerNodes) {
    CustomerQuota existing = customers.use(key);
    if (existing != null) {
      return existing;
    }
    // Tokens accumulate from when the customer can last have used its quota, not from now.
    CustomerQuota created =
        new CustomerQuota(key, plan, customerNodes, context, forgottenUsedNanos);
    if (handedOver) {
      created.stopCeilingRefill();
    }
    CustomerQuota forgotten = customers.add(key, created);
    if (forgotten != null) {
      forget(forgotten);
    }
    return created;
  }

  private void forget(CustomerQuota forgotten) {
    unreported.remove(forgotten);
    if (!forgotten.isRefilled()) {
      forgottenUsedNanos = Math.max(forgottenUsedNanos, forgotten.lastUsedNanos());
    }
    onCustomerForgotten.accept(forgotten.customer());
  }

  /** The request has ended, so that its customer may be forgotten. */
  public void requestEnded(QuotaReservation reservation) {
    reservation.quota().requestEnded();
  }

  /**
   * Decides on a request, or calls the shared counter before the decision.
   *
   * @param priorityWeight the weight of the request's class
   * @param objectiveAtNanos the time by which the request should be answered
   */
  public QuotaDecision admit(
      QuotaReservation reservation, double priorityWeight, long objectiveAtNanos) {
    return reservation.quota().admit(reservation, priorityWeight, objectiveAtNanos);
  }

  /**
   * Decides on a request whose wait for the counter has ended.
   *
   * @param answered whether the counter answered
   */
  public QuotaDecision decide(QuotaReservation reservation, boolean answered) {
    return reservation.quota().decide(reservation, answered);
  }

  /**
   * Replaces the units of a served request by the actual units, if the settings say that answers
   * report them, this answer did, and the request was within the quota.
   *
   * @param actualUnits the actual units; 0 if the answer did not report them
   */
  public void requestServed(QuotaReservation reservation, double actualUnits) {
    boolean hasActualUnits = settings.counter().reportsActualUnits() && actualUnits > 0;
    if (hasActualUnits && reservation.withinQuota()) {
      reservation.quota().applyActualUnits(reservation, actualUnits);
    }
  }

  /** Gives back the units of a request that was never sent to an endpoint. */
  public void release(QuotaReservation reservation) {
    reservation.quota().release(reservation);
  }

  /**
   * Applies the end of a call to the counter.
   *
   * @param key the key of the counter; a key without pending calls is ignored
   * @param total the total units of all nodes, if the outcome is {@link Outcome#OK}
   */
  public void counterReplied(long key, Outcome outcome, double total) {
    CounterCall call = calls.removeOldest(key);
    if (call == null) {
      return;
    }
    boolean answered = outcome == Outcome.OK;
    budget.callEnded(answered, clock.nowNanos() - call.sentAtNanos());
    availability.callEnded(answered);
    call.quota().callEnded(call, outcome, total);
    endWait(call, answered);
  }

  /** Ends waits for the counter that take too long, and reports usage within the call budget. */
  public void timerFired() {
    availability.update();
    long sentBeforeNanos =
        clock.nowNanos() - MAX_COUNTER_WAIT_TIMEOUTS * settings.counter().timeoutNanos();
    calls.forEachSentBefore(sentBeforeNanos, call -> endWait(call, false));
    unreported.report();
  }

  /** Ends the wait of the call's request, if there is one that still waits. */
  private void endWait(CounterCall call, boolean answered) {
    QuotaReservation reservation = call.reservation();
    if (reservation == null || !reservation.awaitingCounter()) {
      return;
    }
    reservation.setAwaitingCounter(false);
    listener.counterWaitEnded(reservation.requestId(), answered);
  }

  /** The rate of the counter's call budget, in calls per second. */
  public double counterCallsPerSecond() {
    return budget.callsPerSecond();
  }

  /**
   * Returns the usage of all customers for the process that replaces this one. This process
   * continues with the tokens it still has; its ceilings are no longer refilled.
   */
  public List<QuotaUsage> exportUsages() {
    List<QuotaUsage> usages = new ArrayList<>(customers.size());
    for (CustomerQuota customer : customers.all()) {
      usages.add(customer.exportUsage());
      customer.stopCeilingRefill();
    }
    handedOver = true;
    return usages;
  }

  /**
   * Continues from the state of the process that this one replaces; usages of unknown plans are
   * ignored.
   *
   * @param previousCallsPerSecond the rate of that process's counter call budget
   */
  public void importUsages(double previousCallsPerSecond, List<QuotaUsage> usages) {
    budget.raiseRateTo(previousCallsPerSecond);
    for (QuotaUsage usage : usages) {
      if (usage.plan() >= 0 && usage.plan() < settings.quotaPlans().size()) {
        customer(usage.customer(), usage.plan(), usage.customerNodeCount()).importUsage(usage);
      }
    }
  }
}

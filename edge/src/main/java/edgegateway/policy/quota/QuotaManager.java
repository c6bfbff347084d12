package edgegateway.policy.quota;

import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.PolicyActions;
import edgegateway.policy.api.PolicySettings;
import edgegateway.policy.api.QuotaUsage;
import edgegateway.policy.api.Request;
import edgegateway.policy.time.EventClock;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** The quotas of all customers and the calls to the shared counter. */
public final class QuotaManager {
  /** Told when a request's wait for the shared counter is over. */
  @FunctionalInterface
  public interface CounterWaitListener {
    /**
     * The wait is over; {@link QuotaManager#decide} is due unless the client has gone.
     *
     * @param requestId the request that waited
     * @param answered whether the counter answered; false after an error or a timeout
     */
    void counterWaitEnded(String requestId, boolean answered);
  }

  /** A call that the host never ends must not cost a request its answer: it waits this long. */
  private static final int MAX_WAIT_TIMEOUTS = 2;

  private final PolicySettings settings;
  private final EventClock clock;
  private final CounterWaitListener listener;
  private final CounterAvailability availability;
  private final CounterCallBudget budget;
  private final CounterCalls calls;
  private final UnreportedUsage unreported;
  private final QuotaContext context;
  private final Map<Long, CustomerQuota> customers = new LinkedHashMap<>();
  private boolean handedOver;

  /** Creates the quotas; the counter's call budget draws once from {@code random}. */
  public QuotaManager(
      PolicySettings settings,
      EventClock clock,
      SplittableRandom random,
      PolicyActions actions,
      CounterWaitListener listener) {
    this.settings = settings;
    this.clock = clock;
    this.listener = listener;
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

  private CustomerQuota customer(long key, int plan, int nodes) {
    CustomerQuota known = customers.get(key);
    if (known != null) {
      return known;
    }
    CustomerQuota created = new CustomerQuota(key, plan, nodes, context);
    if (handedOver) {
      created.stopCeilingRefill();
    }
    customers.put(key, created);
    return created;
  }

  /**
   * Decides on a request, perhaps after asking the shared counter.
   *
   * @param priorityWeight the weight of the request's class
   * @param objectiveNanos the moment by which the request should be answered
   */
  public QuotaDecision admit(
      QuotaReservation reservation, double priorityWeight, long objectiveNanos) {
    return reservation.quota().admit(reservation, priorityWeight, objectiveNanos);
  }

  /**
   * Decides on a request whose wait for the counter is over.
   *
   * @param answered whether the counter answered
   */
  public QuotaDecision decide(QuotaReservation reservation, boolean answered) {
    return reservation.quota().decide(reservation, answered);
  }

  /**
   * Replaces the units of a served request by the true ones, if the settings say that answers tell
   * them, this one did, and the request was within the quota.
   *
   * @param actualUnits the actual units; 0 if the server named none
   */
  public void requestServed(QuotaReservation reservation, double actualUnits) {
    boolean hasActualUnits = settings.counter().reportsActualUnits() && actualUnits > 0;
    if (hasActualUnits && reservation.withinQuota()) {
      reservation.quota().correct(reservation, actualUnits);
    }
  }

  /** Gives back what a request holds that was never sent to an endpoint. */
  public void release(QuotaReservation reservation) {
    reservation.quota().release(reservation);
  }

  /**
   * Applies the end of a call to the counter.
   *
   * @param name the name of the count; unknown names are ignored
   * @param total the units of all nodes, if the outcome is {@link Outcome#OK}
   */
  public void counterReplied(long name, Outcome outcome, double total) {
    CounterCall call = calls.poll(name);
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
    long due = clock.nowNanos() - MAX_WAIT_TIMEOUTS * settings.counter().timeoutNanos();
    calls.forEachSentBefore(due, call -> endWait(call, false));
    unreported.report();
  }

  private void endWait(CounterCall call, boolean answered) {
    QuotaReservation reservation = call.reservation();
    if (reservation == null || !reservation.awaitingCounter()) {
      return;
    }
    reservation.setAwaitingCounter(false);
    listener.counterWaitEnded(reservation.requestId(), answered);
  }

  /** The rate of the counter's call budget, in calls a second. */
  public double counterCallsPerSecond() {
    return budget.callsPerSecond();
  }

  /**
   * Hands the usage of all customers over to the process that replaces this one. This one goes on
   * with what it has: its ceilings gain nothing more.
   */
  public List<QuotaUsage> exportUsages() {
    List<QuotaUsage> usages = new ArrayList<>(customers.size());
    for (CustomerQuota customer : customers.values()) {
      usages.add(customer.exportUsage());
      customer.stopCeilingRefill();
    }
    handedOver = true;
    return usages;
  }

  /**
   * Goes on from the state of the process that this one replaces; usages of unknown plans are
   * ignored.
   */
  public void importUsages(double otherCallsPerSecond, List<QuotaUsage> usages) {
    budget.raiseTo(otherCallsPerSecond);
    for (QuotaUsage usage : usages) {
      if (usage.plan() >= 0 && usage.plan() < settings.quotaPlans().size()) {
        customer(usage.customer(), usage.plan(), usage.customerNodeCount()).importUsage(usage);
      }
    }
  }
}

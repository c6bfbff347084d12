package edgegateway.policy;

import edgegateway.policy.admission.ConcurrencyCaps;
import edgegateway.policy.admission.DeadlinePolicy;
import edgegateway.policy.admission.LoadShedder;
import edgegateway.policy.admission.RetryAfterPolicy;
import edgegateway.policy.api.AttemptResult;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.PolicyActions;
import edgegateway.policy.api.PolicySettings;
import edgegateway.policy.api.Request;
import edgegateway.policy.control.ConcurrencyController;
import edgegateway.policy.quota.CustomerQuota;
import edgegateway.policy.quota.QuotaDecision;
import edgegateway.policy.quota.QuotaManager;
import edgegateway.policy.quota.QuotaReservation;
import edgegateway.policy.retry.AttemptTimeouts;
import edgegateway.policy.retry.RetryBudget;
import edgegateway.policy.retry.RetryPolicy;
import edgegateway.policy.routing.EndpointRouter;
import edgegateway.policy.routing.EndpointTracker;
import edgegateway.policy.scheduling.FairQueue;
import edgegateway.policy.scheduling.InFlightAttempts;
import edgegateway.policy.scheduling.PendingRequest;
import edgegateway.policy.scheduling.RequestClassQueue;
import edgegateway.policy.scheduling.SendPermit;
import edgegateway.policy.time.EventClock;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Takes each request from its arrival to its single final answer: deadline check, quota, queue,
 * endpoint selection, attempts and retries. Calls the mechanisms in this order and holds no rule of
 * its own. Runs on the thread of the policy's events.
 */
final class RequestLifecycle {
  private final PolicySettings settings;
  private final EventClock clock;
  private final PolicyActions actions;
  private final QuotaManager quotas;
  private final EndpointRouter router;
  private final FairQueue queues;
  private final ConcurrencyController concurrency;
  private final InFlightAttempts inFlight;
  private final ConcurrencyCaps concurrencyCaps = new ConcurrencyCaps();
  private final DeadlinePolicy deadlines;
  private final LoadShedder loadShedder;
  private final RetryAfterPolicy retryAfter;
  private final RetryBudget retryBudget = new RetryBudget();
  private final RetryPolicy retries;
  private final AttemptTimeouts timeouts;
  private final Map<String, PendingRequest> requests = new HashMap<>();

  RequestLifecycle(
      PolicySettings settings,
      EventClock clock,
      SplittableRandom random,
      PolicyActions actions,
      QuotaManager quotas,
      EndpointRouter router,
      FairQueue queues,
      ConcurrencyController concurrency) {
    this.settings = settings;
    this.clock = clock;
    this.actions = actions;
    this.quotas = quotas;
    this.router = router;
    this.queues = queues;
    this.concurrency = concurrency;
    inFlight = new InFlightAttempts(clock, concurrency);
    deadlines = new DeadlinePolicy(clock, settings.tickNanos());
    loadShedder = new LoadShedder(queues);
    retryAfter = new RetryAfterPolicy(settings.limits(), random);
    retries = new RetryPolicy(settings.limits(), clock, retryBudget);
    timeouts = new AttemptTimeouts(clock, retryBudget);
  }

  /**
   * Admits, rejects or queues a request. One of an unknown class or plan is rejected; one whose id
   * is in use already is ignored.
   */
  void requestReceived(Request request) {
    if (!hasKnownClassAndPlan(request)) {
      actions.reject(request.id(), 0);
      return;
    }
    if (requests.containsKey(request.id())) {
      return;
    }
    QuotaReservation reservation = quotas.newReservation(request);
    CustomerQuota quota = reservation.quota();
    SendPermit permit =
        concurrencyCaps.of(request.customer(), quota.plan(), quota.customerNodeCount());
    PendingRequest pending = queues.newRequest(request, reservation, permit);
    requests.put(request.id(), pending);
    if (deadlines.cannotMeetObjective(pending)) {
      // It is not queued: at the next check of the queue it could be too late for its answer.
      giveUp(pending);
    } else {
      double priorityWeight = pending.requestClass().priorityWeight();
      apply(pending, quotas.admit(reservation, priorityWeight, pending.objectiveAtNanos()));
    }
    dispatch();
  }

  /** Called when nothing is known of a customer any more. */
  void customerForgotten(long customer) {
    concurrencyCaps.forget(customer);
  }

  private boolean hasKnownClassAndPlan(Request request) {
    return request.requestClass() >= 0
        && request.requestClass() < queues.queues().size()
        && request.plan() >= 0
        && request.plan() < settings.quotaPlans().size();
  }

  /** Rejects a request for which the host has no capacity left. */
  void requestOverHostCapacity(Request request) {
    actions.reject(request.id(), retryAfter.overCapacityRetryAfterNanos());
  }

  /**
   * Decides on a request whose wait for the shared counter is over.
   *
   * @param answered whether the counter answered; false after an error or a timeout
   */
  void counterWaitEnded(String requestId, boolean answered) {
    PendingRequest request = requests.get(requestId);
    if (request.isClientDisconnected()) {
      finish(request);
    } else {
      apply(request, quotas.decide(request.reservation(), answered));
    }
  }

  private void apply(PendingRequest request, QuotaDecision decision) {
    switch (decision) {
      case ADMITTED -> enqueue(request);
      case REJECTED -> {
        double seconds = request.reservation().retryAfterSeconds();
        actions.reject(request.id(), retryAfter.retryAfterNanos(seconds));
        finish(request);
      }
      case AWAITING_COUNTER -> {}
    }
  }

  private void enqueue(PendingRequest request) {
    request.queue().add(request);
    shedLoad(request.queue());
    router.checkHealthIfTrafficLow(request);
  }

  /**
   * Gives up the least valuable requests of a queue while the concurrency limit is reached and the
   * last request would wait too long.
   */
  private void shedLoad(RequestClassQueue queue) {
    if (inFlight.belowLimit()) {
      return;
    }
    LoadShedder.WaitLimit limit = loadShedder.waitLimit(queue, concurrency.limit());
    while (!inFlight.belowLimit() && limit.isExceededBy(queue)) {
      PendingRequest leastValuable = LoadShedder.lowestValueRequest(queue);
      queue.remove(leastValuable);
      giveUp(leastValuable);
    }
  }

  /**
   * Gives up all queued requests that can no longer be answered by their latency objective. Each
   * one is checked, since a short deadline may be queued behind a long one.
   */
  void giveUpExpired() {
    for (RequestClassQueue queue : queues.queues()) {
      for (PendingRequest request : queue.matching(deadlines::cannotMeetObjective)) {
        queue.remove(request);
        giveUp(request);
      }
    }
  }

  /** Sends queued requests in the order of the fair queue, up to the concurrency limit. */
  void dispatch() {
    while (inFlight.mayDispatch()) {
      PendingRequest next = queues.next();
      if (next == null) {
        return;
      }
      if (deadlines.cannotMeetObjective(next)) {
        next.queue().remove(next);
        giveUp(next);
        continue;
      }
      EndpointTracker endpoint = router.select(next);
      if (endpoint == null) {
        return;
      }
      queues.dequeue(next);
      send(next, endpoint);
    }
  }

  private void send(PendingRequest request, EndpointTracker endpoint) {
    if (request.attempts() == 0) {
      retryBudget.firstAttemptSent();
    }
    request.attemptSent(endpoint, clock.nowNanos());
    router.attemptSent(request, endpoint);
    inFlight.attemptSent();
    long timeoutNanos = timeouts.timeoutNanos(request, inFlight.belowLimit());
    actions.sendAttempt(request.id(), endpoint.id(), timeoutNanos);
  }

  /**
   * Handles the end of an attempt: ends the request if it is complete or its client has gone, else
   * retries it or gives it up.
   */
  void attemptEnded(AttemptResult result) {
    PendingRequest request = requests.get(result.requestId());
    if (request == null || request.endpoint() == null) {
      return;
    }
    boolean provesNotExecuted = result.outcome().provesNotExecuted();
    EndpointTracker endpoint = request.endpoint();
    request.attemptEnded(provesNotExecuted);
    boolean wasInFlight = router.attemptEnded(request, endpoint, result);
    inFlight.attemptEnded(wasInFlight, result.durationNanos());
    request.queue().attemptEnded(request, result, clock.nowNanos());
    if (result.outcome() == Outcome.OK) {
      quotas.requestServed(request.reservation(), result.actualUnits());
    }
    if (result.requestComplete() || request.isClientDisconnected()) {
      finish(request);
    } else {
      retryOrGiveUp(request, provesNotExecuted);
    }
    dispatch();
  }

  private void retryOrGiveUp(PendingRequest request, boolean provesNotExecuted) {
    EndpointTracker endpoint =
        retries.mayRetry(request, provesNotExecuted) ? router.select(request) : null;
    if (endpoint == null) {
      giveUp(request);
    } else {
      retries.retrySent(provesNotExecuted);
      send(request, endpoint);
    }
  }

  /**
   * A part of a request's long body was forwarded and is no longer buffered. Until its upload is
   * complete the attempt does not count towards the concurrency limit.
   */
  void bodyForwarded(String requestId) {
    PendingRequest request = requests.get(requestId);
    if (request == null || request.endpoint() == null || request.isBodyForwarded()) {
      return;
    }
    request.bodyForwarded();
    inFlight.suspended();
    router.bodyForwarded(request, request.endpoint());
    dispatch();
  }

  /** The rest of a request's long body was forwarded: its attempt counts as in flight again. */
  void uploadCompleted(String requestId) {
    PendingRequest request = requests.get(requestId);
    if (request == null || request.endpoint() == null) {
      return;
    }
    inFlight.resumed();
    request.uploadCompleted(clock.nowNanos());
    router.uploadCompleted(request, request.endpoint());
  }

  /**
   * The client disconnected: the request ends now, or with its attempt or counter call in progress.
   */
  void clientDisconnected(String requestId) {
    PendingRequest request = requests.get(requestId);
    if (request == null) {
      return;
    }
    request.clientDisconnected();
    if (request.endpoint() == null && !request.reservation().awaitingCounter()) {
      request.queue().remove(request);
      finish(request);
    }
  }

  /**
   * Ends a request that is not served: rejects it if a retry by its client is safe, else fails it.
   */
  private void giveUp(PendingRequest request) {
    if (retries.mayReject(request)) {
      // A client that retries before the requests queued now are served only lengthens the queue.
      RequestClassQueue queue = request.queue();
      double seconds = queue.size() * queue.serviceTime().averageSeconds() / concurrency.limit();
      actions.reject(request.id(), retryAfter.retryAfterNanos(seconds));
    } else {
      actions.fail(request.id());
    }
    finish(request);
  }

  /** Removes a request, and releases its quota reservation if it was never sent. */
  private void finish(PendingRequest request) {
    requests.remove(request.id());
    if (request.attempts() == 0) {
      quotas.release(request.reservation());
    }
    quotas.requestEnded(request.reservation());
    request.finished();
  }
}

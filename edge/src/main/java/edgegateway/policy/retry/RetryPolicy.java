package edgegateway.policy.retry;

import edgegateway.policy.api.DeduplicationScope;
import edgegateway.policy.api.Idempotency;
import edgegateway.policy.api.RequestClass;
import edgegateway.policy.api.RequestLimits;
import edgegateway.policy.scheduling.PendingRequest;
import edgegateway.policy.time.Durations;
import edgegateway.policy.time.EventClock;

/** Decides whether a request may be retried, and whether it may be rejected once it is given up. */
public final class RetryPolicy {
  private final RequestLimits limits;
  private final EventClock clock;
  private final RetryBudget budget;

  /** Creates a policy within the settings' limits and a retry budget. */
  public RetryPolicy(RequestLimits limits, EventClock clock, RetryBudget budget) {
    this.limits = limits;
    this.clock = clock;
    this.budget = budget;
  }

  /**
   * Whether a request whose attempt ended may be sent again: the request cannot take effect twice,
   * it can still be answered by its latency objective, its body is still held, and neither the
   * limit on attempts nor the retry budget is used up.
   *
   * @param provesNotExecuted whether the attempt that ended provably had no effect: such a retry
   *     costs nothing of the budget
   */
  public boolean mayRetry(PendingRequest request, boolean provesNotExecuted) {
    double halfServiceSeconds = request.queue().serviceTime().averageSeconds() / 2;
    long expectedAnswerAtNanos = clock.nowNanos() + Durations.toNanos(halfServiceSeconds);
    return isSafeToRetry(request)
        && expectedAnswerAtNanos < request.objectiveAtNanos()
        && budget.hasTokens(budgetCost(provesNotExecuted))
        && !request.isBodyForwarded()
        && request.attempts() < limits.maxAttempts();
  }

  /**
   * Takes a retry that {@link #mayRetry} allowed from the budget.
   *
   * @param provesNotExecuted as for {@link #mayRetry}
   */
  public void retrySent(boolean provesNotExecuted) {
    budget.acquire(budgetCost(provesNotExecuted));
  }

  private static double budgetCost(boolean provesNotExecuted) {
    return provesNotExecuted ? 0 : 1;
  }

  /** Whether sending the request once more cannot have a second effect. */
  private boolean isSafeToRetry(PendingRequest request) {
    if (!request.mayHaveExecuted()) {
      return true;
    }
    RequestClass requestClass = request.requestClass();
    return switch (requestClass.idempotency()) {
      case IDEMPOTENT -> true;
      case KEYED -> isIdempotencyKeyValid(request, requestClass);
      case NOT_IDEMPOTENT -> false;
    };
  }

  /** Whether the endpoints still drop repeated requests with the request's idempotency key. */
  private boolean isIdempotencyKeyValid(PendingRequest request, RequestClass requestClass) {
    long ageNanos = clock.nowNanos() - request.possibleExecutionSentAtNanos();
    return ageNanos + Durations.TIMER_PERIOD_NANOS < requestClass.idempotencyKeyWindowNanos();
  }

  /**
   * Whether a request that is given up may be rejected, which tells the client that a retry is
   * harmless. Otherwise it must be failed, which promises nothing about its effect.
   */
  public boolean mayReject(PendingRequest request) {
    RequestClass requestClass = request.requestClass();
    return !request.mayHaveExecuted()
        || requestClass.idempotency() == Idempotency.IDEMPOTENT
        || requestClass.idempotency() == Idempotency.KEYED
            && requestClass.deduplicationScope() == DeduplicationScope.ALL;
  }
}

package edgegateway.policy.retry;

import edgegateway.policy.api.DeduplicationScope;
import edgegateway.policy.api.Idempotency;
import edgegateway.policy.api.RequestClass;
import edgegateway.policy.api.RequestLimits;
import edgegateway.policy.scheduling.PendingRequest;
import edgegateway.policy.time.Durations;
import edgegateway.policy.time.EventClock;

/** Decides whether a request may be sent again, and whether its final answer may be a rejection. */
public final class RetryPolicy {
  private final RequestLimits limits;
  private final EventClock clock;
  private final RetryBudget budget;

  /** Creates a policy within the settings' limits and a budget. */
  public RetryPolicy(RequestLimits limits, EventClock clock, RetryBudget budget) {
    this.limits = limits;
    this.clock = clock;
    this.budget = budget;
  }

  /**
   * Decides whether a request whose attempt ended may be sent again: if no effect can come twice,
   * it can still be answered by its latency objective, its body is still held, and neither the
   * limit on attempts nor the retry budget is used up.
   *
   * @param provesNotExecuted whether the attempt that ended proved that it had no effect: such a
   *     retry costs nothing of the budget
   */
  public boolean mayRetry(PendingRequest request, boolean provesNotExecuted) {
    double halfServiceSeconds = request.queue().serviceTime().averageSeconds() / 2;
    long answeredNanos = clock.nowNanos() + Durations.toNanos(halfServiceSeconds);
    return mayExecuteAgain(request)
        && answeredNanos < request.objectiveAtNanos()
        && budget.has(price(provesNotExecuted))
        && !request.isBodyForwarded()
        && request.attempts() < limits.maxAttempts();
  }

  /** A retry that {@link #mayRetry} allowed is sent. */
  public void retrySent(boolean provesNotExecuted) {
    budget.acquire(price(provesNotExecuted));
  }

  private static double price(boolean provesNotExecuted) {
    return provesNotExecuted ? 0 : 1;
  }

  /** Whether no effect can come twice, if the request is sent once more. */
  private boolean mayExecuteAgain(PendingRequest request) {
    if (!request.mayHaveExecuted()) {
      return true;
    }
    RequestClass requestClass = request.requestClass();
    return switch (requestClass.idempotency()) {
      case IDEMPOTENT -> true;
      case KEYED -> isKeyStillKnown(request, requestClass);
      case NOT_IDEMPOTENT -> false;
    };
  }

  /** Whether the endpoints still drop repeats of the request's idempotency key. */
  private boolean isKeyStillKnown(PendingRequest request, RequestClass requestClass) {
    long ageNanos = clock.nowNanos() - request.possibleExecutionSentAtNanos();
    return ageNanos + Durations.TIMER_PERIOD_NANOS < requestClass.idempotencyKeyWindowNanos();
  }

  /**
   * Whether a request that is given up may be rejected, which tells its client that trying again is
   * harmless; else it has failed, with no promise about its effect.
   */
  public boolean mayReject(PendingRequest request) {
    RequestClass requestClass = request.requestClass();
    return !request.mayHaveExecuted()
        || requestClass.idempotency() == Idempotency.IDEMPOTENT
        || requestClass.idempotency() == Idempotency.KEYED
            && requestClass.deduplicationScope() == DeduplicationScope.ALL;
  }
}

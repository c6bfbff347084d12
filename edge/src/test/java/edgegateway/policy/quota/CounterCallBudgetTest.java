package edgegateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.policy.RecordedActions;
import edgegateway.policy.time.Durations;
import edgegateway.policy.time.EventClock;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class CounterCallBudgetTest {
  private static final long TIMEOUT_NANOS = 50 * Durations.NANOS_PER_MILLISECOND;

  private final EventClock clock = new EventClock(Durations.NANOS_PER_SECOND);
  private final CounterCallBudget budget =
      new CounterCallBudget(
          clock,
          new SplittableRandom(5),
          new CounterAvailability(clock, new RecordedActions()),
          TIMEOUT_NANOS);

  /** Acquires calls of a priority until one is denied; returns how many were allowed. */
  private int acquireUntilDenied(double priority) {
    int acquired = 0;
    while (budget.tryAcquire(priority)) {
      acquired++;
    }
    return acquired;
  }

  @Test
  void aLowBudgetAllowsOnlyCallsOfHighPriority() {
    acquireUntilDenied(Double.MAX_VALUE);
    clock.set(clock.nowNanos() + Durations.NANOS_PER_SECOND);
    assertFalse(budget.tryAcquire(0));
    assertTrue(budget.tryAcquire(Double.MAX_VALUE));
  }

  @Test
  void unansweredCallsLowerTheRateToTheMinimum() {
    for (int i = 0; i < 20; i++) {
      budget.callEnded(false, 0);
    }
    assertEquals(1, budget.callsPerSecond());
  }

  @Test
  void theRateRisesOnlyAfterACallWasDenied() {
    budget.callEnded(true, 1);
    budget.callEnded(true, 1);
    assertEquals(2, budget.callsPerSecond(), "no call was denied");
    acquireUntilDenied(Double.MAX_VALUE);
    budget.callEnded(true, 1);
    assertEquals(2.4, budget.callsPerSecond(), 1e-9, "raised by a fifth, without a queueing delay");
  }
}

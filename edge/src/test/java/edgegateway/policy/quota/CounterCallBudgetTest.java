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
  private static final long TIMEOUT = 50 * Durations.NANOS_PER_MILLISECOND;

  private final EventClock clock = new EventClock(Durations.NANOS_PER_SECOND);
  private final CounterCallBudget budget =
      new CounterCallBudget(
          clock,
          new SplittableRandom(5),
          new CounterAvailability(clock, new RecordedActions()),
          TIMEOUT);

  private int acquireAll(double priority) {
    int acquired = 0;
    while (budget.tryAcquire(priority)) {
      acquired++;
    }
    return acquired;
  }

  @Test
  void anEmptyBudgetAsksForAHigherPriority() {
    acquireAll(Double.MAX_VALUE);
    clock.set(clock.nowNanos() + Durations.NANOS_PER_SECOND);
    assertFalse(budget.tryAcquire(0));
    assertTrue(budget.tryAcquire(Double.MAX_VALUE));
  }

  @Test
  void theRateFallsWithEachUnansweredCallToItsMinimum() {
    for (int i = 0; i < 20; i++) {
      budget.callEnded(false, 0);
    }
    assertEquals(1, budget.callsPerSecond());
  }

  @Test
  void theRateRisesOnlyAfterACallWasDenied() {
    budget.callEnded(true, 1);
    budget.callEnded(true, 1);
    assertEquals(2, budget.callsPerSecond(), "nothing was denied");
    acquireAll(Double.MAX_VALUE);
    budget.callEnded(true, 1);
    assertEquals(2.4, budget.callsPerSecond(), 1e-9, "a fifth more, with no queue");
  }
}

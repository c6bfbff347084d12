package edgegateway.policy.retry;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RetryBudgetTest {
  private final RetryBudget budget = new RetryBudget();

  @Test
  void startsWithTwentyRetriesAndGainsOneForEveryFiveFirstAttempts() {
    for (int i = 0; i < 20; i++) {
      assertTrue(budget.hasTokens(1), "retry " + i);
      budget.acquire(1);
    }
    assertFalse(budget.hasTokens(1));
    assertTrue(budget.hasTokens(0), "a retry that costs nothing");
    for (int i = 0; i < 6; i++) {
      budget.firstAttemptSent();
    }
    assertTrue(budget.hasTokens(1));
    assertFalse(budget.hasTokens(2));
  }

  @Test
  void holdsAtMostTwentyRetries() {
    for (int i = 0; i < 1000; i++) {
      budget.firstAttemptSent();
    }
    assertTrue(budget.hasTokens(20));
    assertFalse(budget.hasTokens(20.1));
    budget.acquire(11);
    assertFalse(budget.isHalfFull());
  }
}

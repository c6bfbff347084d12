package edgegateway.policy.admission;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.policy.api.QuotaPlan;
import org.junit.jupiter.api.Test;

class ConcurrencyCapsTest {
  private final ConcurrencyCaps caps = new ConcurrencyCaps();

  private static QuotaPlan plan(int maxConcurrentAttempts) {
    return new QuotaPlan(0, 0, maxConcurrentAttempts, 1, 0, 0, 0, 0, 0);
  }

  @Test
  void aCapIsDividedByTheCustomersNodesAndLeavesOneAtLeast() {
    ConcurrencyCap two = caps.of(1, plan(6), 3);
    two.acquire();
    assertTrue(two.hasCapacity());
    two.acquire();
    assertFalse(caps.of(1, plan(6), 3).hasCapacity(), "the same customer's");
    two.release();
    assertTrue(two.hasCapacity());
    assertTrue(caps.of(2, plan(2), 3).hasCapacity(), "one at least");
  }

  @Test
  void aPlanWithoutACapHasRoom() {
    ConcurrencyCap none = caps.of(3, plan(0), 3);
    for (int i = 0; i < 1000; i++) {
      none.acquire();
    }
    assertTrue(none.hasCapacity());
  }
}

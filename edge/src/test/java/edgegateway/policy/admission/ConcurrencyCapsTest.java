package edgegateway.policy.admission;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.policy.api.QuotaPlan;
import org.junit.jupiter.api.Test;

class ConcurrencyCapsTest {
  private final ConcurrencyCaps caps = new ConcurrencyCaps();

  private static QuotaPlan planWithCap(int maxConcurrentAttempts) {
    return new QuotaPlan(0, 0, maxConcurrentAttempts, 1, 0, 0, 0, 0, 0);
  }

  @Test
  void aCapIsDividedByTheCustomersNodesAndIsAtLeastOne() {
    ConcurrencyCap capOfTwo = caps.of(1, planWithCap(6), 3);
    capOfTwo.acquire();
    assertTrue(capOfTwo.hasCapacity());
    capOfTwo.acquire();
    assertFalse(caps.of(1, planWithCap(6), 3).hasCapacity(), "the cap is the same customer's");
    capOfTwo.release();
    assertTrue(capOfTwo.hasCapacity());
    assertTrue(caps.of(2, planWithCap(2), 3).hasCapacity(), "at least one request per node");
  }

  @Test
  void aPlanWithoutACapIsUnlimited() {
    ConcurrencyCap unlimited = caps.of(3, planWithCap(0), 3);
    for (int i = 0; i < 1000; i++) {
      unlimited.acquire();
    }
    assertTrue(unlimited.hasCapacity());
  }
}

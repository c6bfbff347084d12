package edgegateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.policy.api.QuotaPlan;
import org.junit.jupiter.api.Test;

class CeilingBucketTest {
  /** A ceiling of 40 units per second with a burst of 20 units. */
  private static final QuotaPlan PLAN_WITH_CEILING = new QuotaPlan(10, 30, 0, 1, 0, 1, 40, 20, 0);

  @Test
  void startsEmptyAndRefillsAtTheNodesPartOfTheRateUpToItsPartOfTheBurst() {
    CeilingBucket bucket = new CeilingBucket(PLAN_WITH_CEILING, 4);
    assertFalse(bucket.hasCapacityFor(1));
    assertEquals(0.1, bucket.secondsUntilAvailable(1), 1e-12);
    bucket.refill(0.1);
    assertTrue(bucket.hasCapacityFor(1));
    bucket.refill(100);
    assertTrue(bucket.hasCapacityFor(5));
    assertFalse(bucket.hasCapacityFor(5.1));
  }

  @Test
  void afterAHandoverTheBucketHoldsHalfItsTokensAndNoLongerRefills() {
    CeilingBucket bucket = new CeilingBucket(PLAN_WITH_CEILING, 1);
    bucket.refill(100);
    assertEquals(10, bucket.exportHalf());
    bucket.stopRefill();
    bucket.refill(100);
    assertTrue(bucket.hasCapacityFor(10));
    assertFalse(bucket.hasCapacityFor(10.1));
  }

  @Test
  void aPlanWithoutACeilingAlwaysHasCapacity() {
    CeilingBucket bucket = new CeilingBucket(new QuotaPlan(10, 30, 0, 1, 0, 1, 0, 0, 0), 3);
    assertTrue(bucket.hasCapacityFor(1e9));
  }
}

package edgegateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.policy.api.QuotaPlan;
import org.junit.jupiter.api.Test;

class CeilingBucketTest {
  private static final QuotaPlan PLAN = new QuotaPlan(10, 30, 0, 1, 0, 1, 40, 20, 0);

  @Test
  void startsEmptyAndGainsThisNodesPartUpToItsBurst() {
    CeilingBucket bucket = new CeilingBucket(PLAN, 4);
    assertFalse(bucket.hasRoomFor(1));
    assertEquals(0.1, bucket.secondsUntilRoomFor(1), 1e-12);
    bucket.refill(0.1);
    assertTrue(bucket.hasRoomFor(1));
    bucket.refill(100);
    assertTrue(bucket.hasRoomFor(5));
    assertFalse(bucket.hasRoomFor(5.1));
  }

  @Test
  void afterAHandoverHalfIsKeptAndNothingGained() {
    CeilingBucket bucket = new CeilingBucket(PLAN, 1);
    bucket.refill(100);
    assertEquals(10, bucket.exportHalf());
    bucket.stopRefill();
    bucket.refill(100);
    assertTrue(bucket.hasRoomFor(10));
    assertFalse(bucket.hasRoomFor(10.1));
  }

  @Test
  void aPlanWithoutCeilingAlwaysHasRoom() {
    CeilingBucket bucket = new CeilingBucket(new QuotaPlan(10, 30, 0, 1, 0, 1, 0, 0, 0), 3);
    assertTrue(bucket.hasRoomFor(1e9));
  }
}

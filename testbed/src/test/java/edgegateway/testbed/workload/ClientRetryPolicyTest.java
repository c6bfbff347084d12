package edgegateway.testbed.workload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ClientRetryPolicyTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  @Test
  void attemptIdContainsTheRequestId() {
    assertEquals("r17", ClientRetryPolicy.attemptId("r17", 0));
    assertEquals("r17.2", ClientRetryPolicy.attemptId("r17", 2));
    assertEquals("r17", ClientRetryPolicy.requestId("r17.2"));
    assertEquals("r17", ClientRetryPolicy.requestId("r17"));
  }

  /**
   * Tests the jitter of 0.5 to 1.5 times the mean, the maximum number of retries, the deadline, a
   * Retry-After that is ignored or is the minimum backoff, and the validation of the settings.
   */
  @Test
  void delayFollowsRetryLimitDeadlineJitterAndRetryAfter() {
    ClientRetryPolicy ignoresRetryAfter = new ClientRetryPolicy(2, 200 * NANOS_PER_MILLI, false);
    for (int i = 0; i < 1_000; i++) {
      long delayNanos =
          ignoresRetryAfter.delayNanos(
              "r" + i, 1, 5_000 * NANOS_PER_MILLI, 1_000 * NANOS_PER_MILLI);
      assertTrue(
          delayNanos >= 100 * NANOS_PER_MILLI && delayNanos < 300 * NANOS_PER_MILLI,
          "r" + i + ": " + delayNanos);
      assertEquals(
          delayNanos,
          ignoresRetryAfter.delayNanos("r" + i, 1, 0, 1_000 * NANOS_PER_MILLI),
          "Retry-After is ignored");
    }
    assertEquals(
        -1, ignoresRetryAfter.delayNanos("r", 3, 0, 1_000 * NANOS_PER_MILLI), "a third retry");
    assertEquals(
        -1,
        ignoresRetryAfter.delayNanos("r", 1, 0, 99 * NANOS_PER_MILLI),
        "the shortest backoff is past the deadline");
    ClientRetryPolicy honorsRetryAfter = new ClientRetryPolicy(2, 200 * NANOS_PER_MILLI, true);
    for (int i = 0; i < 1_000; i++) {
      long delayNanos =
          honorsRetryAfter.delayNanos("r" + i, 1, 800 * NANOS_PER_MILLI, 5_000 * NANOS_PER_MILLI);
      assertTrue(
          delayNanos >= 800 * NANOS_PER_MILLI && delayNanos < 1_200 * NANOS_PER_MILLI,
          "r" + i + ": " + delayNanos);
    }
    assertEquals(-1, ClientRetryPolicy.NONE.delayNanos("r", 1, 0, Long.MAX_VALUE));
    assertThrows(IllegalArgumentException.class, () -> new ClientRetryPolicy(-1, 1, true));
    assertThrows(IllegalArgumentException.class, () -> new ClientRetryPolicy(1, 0, true));
  }
}

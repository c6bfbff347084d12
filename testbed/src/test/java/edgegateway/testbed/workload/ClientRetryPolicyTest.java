package edgegateway.testbed.workload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ClientRetryPolicyTest {
  private static final long MS = 1_000_000L;

  @Test
  void aTryHasAnIdOfItsOwnAndItsRequests() {
    assertEquals("r17", ClientRetryPolicy.id("r17", 0));
    assertEquals("r17.2", ClientRetryPolicy.id("r17", 2));
    assertEquals("r17", ClientRetryPolicy.request("r17.2"));
    assertEquals("r17", ClientRetryPolicy.request("r17"));
  }

  @Test
  void clientsComeAgainWhileTheyHaveTriesAndTime() {
    ClientRetryPolicy stubborn = new ClientRetryPolicy(2, 200 * MS, false);
    for (int i = 0; i < 1_000; i++) {
      long pause = stubborn.delayNanos("r" + i, 1, 5_000 * MS, 1_000 * MS);
      assertTrue(pause >= 100 * MS && pause < 300 * MS, "r" + i + ": " + pause);
      assertEquals(pause, stubborn.delayNanos("r" + i, 1, 0, 1_000 * MS), "advice is not heeded");
    }
    assertEquals(-1, stubborn.delayNanos("r", 3, 0, 1_000 * MS), "a third time more");
    assertEquals(-1, stubborn.delayNanos("r", 1, 0, 99 * MS), "no time");
    ClientRetryPolicy patient = new ClientRetryPolicy(2, 200 * MS, true);
    for (int i = 0; i < 1_000; i++) {
      long pause = patient.delayNanos("r" + i, 1, 800 * MS, 5_000 * MS);
      assertTrue(pause >= 800 * MS && pause < 1_200 * MS, "r" + i + ": " + pause);
    }
    assertEquals(-1, ClientRetryPolicy.NONE.delayNanos("r", 1, 0, Long.MAX_VALUE));
    assertThrows(IllegalArgumentException.class, () -> new ClientRetryPolicy(-1, 1, true));
    assertThrows(IllegalArgumentException.class, () -> new ClientRetryPolicy(1, 0, true));
  }
}

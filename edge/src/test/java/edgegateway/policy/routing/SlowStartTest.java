package edgegateway.policy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.policy.api.PlatformRules;
import edgegateway.policy.time.Durations;
import edgegateway.policy.time.EventClock;
import org.junit.jupiter.api.Test;

class SlowStartTest {
  private static final long SECOND = Durations.NANOS_PER_SECOND;
  private static final PlatformRules RULES = new PlatformRules(0, 0.25, 10 * SECOND, 3, SECOND);

  @Test
  void capacityGrowsEvenlyFromItsInitialFraction() {
    EventClock clock = new EventClock(100 * SECOND);
    SlowStart slowStart = new SlowStart(clock, RULES, 100 * SECOND);
    assertEquals(0.25, slowStart.capacityFraction());
    clock.set(105 * SECOND);
    assertTrue(slowStart.inProgress());
    assertEquals(0.625, slowStart.capacityFraction(), 1e-12);
    assertEquals(6.25, slowStart.grantWork(2), 1e-9, "five seconds of 2 a second, at 0.625");
    assertEquals(0, slowStart.grantWork(2), "granted once");
    clock.set(110 * SECOND);
    assertFalse(slowStart.inProgress());
  }

  @Test
  void anEndpointThatStartedLongAgoHasNone() {
    assertFalse(new SlowStart(new EventClock(SECOND), RULES, 0).inProgress());
  }
}

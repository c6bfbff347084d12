package edgegateway.policy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.policy.api.PlatformRules;
import edgegateway.policy.time.Durations;
import edgegateway.policy.time.EventClock;
import org.junit.jupiter.api.Test;

class SlowStartTest {
  private static final long SECOND_NANOS = Durations.NANOS_PER_SECOND;
  private static final double INITIAL_FRACTION = 0.25;
  private static final long SLOW_START_NANOS = 10 * SECOND_NANOS;
  private static final PlatformRules RULES =
      new PlatformRules(0, INITIAL_FRACTION, SLOW_START_NANOS, 3, SECOND_NANOS);

  @Test
  void capacityGrowsLinearlyFromInitialFraction() {
    EventClock clock = new EventClock(100 * SECOND_NANOS);
    SlowStart slowStart = new SlowStart(clock, RULES, 100 * SECOND_NANOS);
    assertEquals(INITIAL_FRACTION, slowStart.capacityFraction());
    clock.set(105 * SECOND_NANOS);
    assertTrue(slowStart.inProgress());
    assertEquals(0.625, slowStart.capacityFraction(), 1e-12);
    assertEquals(
        6.25,
        slowStart.grantWork(2),
        1e-9,
        "5 s at 2 s of work per second and a capacity fraction of 0.625");
    assertEquals(0, slowStart.grantWork(2), "the same time must not be granted twice");
    clock.set(110 * SECOND_NANOS);
    assertFalse(slowStart.inProgress());
  }

  @Test
  void endpointStartedLongAgoIsNotInSlowStart() {
    assertFalse(new SlowStart(new EventClock(SECOND_NANOS), RULES, 0).inProgress());
  }
}

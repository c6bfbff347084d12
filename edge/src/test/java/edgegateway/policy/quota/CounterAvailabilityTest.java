package edgegateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.policy.RecordedActions;
import edgegateway.policy.time.Durations;
import edgegateway.policy.time.EventClock;
import java.util.List;
import org.junit.jupiter.api.Test;

class CounterAvailabilityTest {
  private static final long START_NANOS = 1_000 * Durations.NANOS_PER_SECOND;
  private static final long HALF_SECOND_NANOS = Durations.NANOS_PER_SECOND / 2;

  private final EventClock clock = new EventClock(START_NANOS);
  private final RecordedActions actions = new RecordedActions();
  private final CounterAvailability availability = new CounterAvailability(clock, actions);

  @Test
  void isUnreachableOnlyAfterMoreThanHalfASecondWithoutAnAnswer() {
    availability.callSent();
    clock.set(START_NANOS + HALF_SECOND_NANOS);
    availability.update();
    assertFalse(availability.unreachable());
    clock.set(START_NANOS + HALF_SECOND_NANOS + 1);
    availability.update();
    assertTrue(availability.unreachable());
    assertEquals(List.of("counter_unreachable quota_source=local_share"), actions.logs);
  }

  @Test
  void anAnswerEndsTheOutageAtOnce() {
    availability.callSent();
    clock.set(START_NANOS + 2 * HALF_SECOND_NANOS);
    availability.update();
    availability.callEnded(true);
    assertFalse(availability.unreachable());
    assertEquals("counter_reachable quota_source=counter", actions.logs.get(1));
    assertEquals(2, actions.logs.size());
  }

  @Test
  void aPeriodWithoutCallsIsNotAnOutage() {
    clock.set(START_NANOS + 100 * HALF_SECOND_NANOS);
    availability.callSent();
    availability.update();
    assertFalse(availability.unreachable());
    assertEquals(List.of(), actions.logs);
  }
}

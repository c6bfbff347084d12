package edgegateway.node.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Lowering and recovery of the limit on client connections after descriptors ran out. */
class ClientCapacityTest {
  private static final long HOLD_NANOS = TimeUnit.SECONDS.toNanos(10);
  private final ClientCapacity capacity = new ClientCapacity();

  @BeforeEach
  void applyBudget() {
    capacity.setBudgeted(100);
  }

  @Test
  void limitIsBelowTheNumberAtWhichDescriptorsRanOut() {
    assertTrue(capacity.descriptorsExhausted(0, 40));
    assertEquals(32, capacity.connections());
    assertFalse(capacity.descriptorsExhausted(0, 60), "not the first report");
    assertEquals(
        32,
        capacity.connections(),
        "descriptors that run out at a higher number do not raise the limit");
  }

  @Test
  void limitIsAtLeastOneConnection() {
    capacity.descriptorsExhausted(0, 3);
    assertEquals(1, capacity.connections());
  }

  @Test
  void limitRecoversByOneAtATimeAfterTheHoldTime() {
    capacity.descriptorsExhausted(0, 106);
    capacity.recover(HOLD_NANOS);
    assertEquals(98, capacity.connections());
    capacity.recover(HOLD_NANOS + 1);
    assertEquals(99, capacity.connections());
    capacity.recover(HOLD_NANOS + 1);
    assertEquals(100, capacity.connections());
    // The reports below are 1 ns earlier than the call of recover() before them. That makes no
    // difference: a lowered limit that has reached the budgeted limit is removed without a hold
    // time.
    assertFalse(capacity.descriptorsExhausted(HOLD_NANOS, 200), "the lowered limit still applies");
    capacity.recover(HOLD_NANOS + 1);
    assertTrue(
        capacity.descriptorsExhausted(HOLD_NANOS, 200),
        "the lowered limit was removed, so this is a first report again");
  }
}

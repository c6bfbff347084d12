package edgegateway.node.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Allocation of file descriptors, and the clamping of configured limits. */
class DescriptorBudgetTest {
  private static final long MB = 1 << 20;
  private static final long MEMORY_BYTES = 192 * MB;

  @Test
  void allProcessesTogetherStayWithinTheDescriptors() {
    for (int descriptors = 256; descriptors <= 4_096; descriptors += 16) {
      for (int processes = 1; processes <= 2; processes++) {
        DescriptorBudget budget =
            DescriptorBudget.of(ConnectionLimits.NONE, descriptors, MEMORY_BYTES, processes, 100);
        int descriptorsPerProcess =
            budget.clients()
                + budget.rejectionSlots()
                + budget.upstreams()
                + budget.operators()
                + DescriptorBudget.RESERVED_DESCRIPTORS
                + DescriptorBudget.COUNTER_CONNECTIONS
                + DescriptorBudget.DISCOVERY_CONNECTIONS;
        assertTrue(
            descriptorsPerProcess * processes <= descriptors,
            descriptors + " for " + processes + ": " + budget);
        assertTrue(
            processes > 1 || budget.clients() >= descriptors / 2,
            "less than half of the descriptors for clients: " + budget);
        assertTrue(
            budget.clients() > descriptors / processes / 6,
            "less than a sixth of the descriptors for clients: " + budget);
      }
    }
  }

  @Test
  void limitPerUpstreamIsFourTimesTheEvenShareWithinBounds() {
    assertEquals(
        64, DescriptorBudget.of(ConnectionLimits.NONE, 256, MEMORY_BYTES, 1, 1).perUpstream());
    assertEquals(
        5, DescriptorBudget.of(ConnectionLimits.NONE, 256, MEMORY_BYTES, 1, 50).perUpstream());
    assertEquals(
        4, DescriptorBudget.of(ConnectionLimits.NONE, 256, MEMORY_BYTES, 1, 200).perUpstream());
  }

  @Test
  void limitsOverTheBudgetAreClampedAndReported() {
    DescriptorBudget budget =
        DescriptorBudget.of(
            new ConnectionLimits(5_000, 5_000, 5_000, 1 << 30, 3_000_000_000L),
            256,
            MEMORY_BYTES,
            1,
            10);
    assertEquals(
        DescriptorBudget.of(ConnectionLimits.NONE, 256, MEMORY_BYTES, 1, 10).clients(),
        budget.clients());
    assertEquals(4, budget.clampWarnings().size());
    assertEquals(
        "connections.clients is 5000, which exceeds the available capacity: using 128 instead",
        budget.clampWarnings().get(0));
    assertEquals(3_000_000_000L, budget.idleTimeoutNanos());
    DescriptorBudget small =
        DescriptorBudget.of(new ConnectionLimits(10, 5, 2, 1 << 18, 0), 256, MEMORY_BYTES, 1, 10);
    assertEquals(
        List.of(10, 5, 2, 1 << 18),
        List.of(small.clients(), small.upstreams(), small.perUpstream(), small.bufferedBytes()));
    assertTrue(small.clampWarnings().isEmpty());
  }

  @Test
  void buffersOfAllProcessesTogetherTakeNoMoreThanAFixedPartOfTheMemory() {
    for (long memoryMb : new long[] {32, 96, 144, 192, 256, 2_048}) {
      for (int processes = 1; processes <= 2; processes++) {
        DescriptorBudget budget =
            DescriptorBudget.of(ConnectionLimits.NONE, 1_024, memoryMb * MB, processes, 100);
        int relayBytes = DescriptorBudget.maxRelayBytes(memoryMb * MB, processes);
        long together = processes * ((long) budget.bufferedBytes() + relayBytes);
        assertTrue(together <= memoryMb * MB / 7, memoryMb + " MB: " + together);
        assertTrue(budget.bufferedBytes() <= 12 * MB && relayBytes <= 8 * MB, budget.toString());
      }
    }
  }
}

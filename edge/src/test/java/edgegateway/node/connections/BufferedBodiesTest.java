package edgegateway.node.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The limit on the memory for buffered data. */
class BufferedBodiesTest {
  private static final int CAPACITY_BYTES = 1_200_000;
  private static final int BODY_BYTES = 65_536;
  private final ConnectionMetrics metrics = new ConnectionMetrics();
  private final BufferedBodies bufferedBodies = new BufferedBodies(metrics);

  private BufferedBodiesTest() {
    bufferedBodies.applyBudget(new DescriptorBudget(1, 1, 1, 1, 1, CAPACITY_BYTES, 1, List.of()));
  }

  @Test
  void aSingleCustomerGetsTwoThirdsAndLeavesCapacityToOtherCustomers() {
    int bodies = 0;
    while (bufferedBodies.newBody(7).tryResize(BODY_BYTES)) {
      bodies++;
    }
    assertEquals(CAPACITY_BYTES * 2 / 3 / BODY_BYTES, bodies);
    for (int customer = 100; customer < 104; customer++) {
      assertTrue(bufferedBodies.newBody(customer).tryResize(BODY_BYTES), "customer " + customer);
    }
    assertEquals(1, metrics.bodiesRejected.get());
  }

  @Test
  void aGrowingBodyIsCountedWithEachResize() {
    BufferedBodies.Body body = bufferedBodies.newBody(7);
    assertTrue(body.tryResize(512));
    assertTrue(body.tryResize(4_096));
    assertEquals(4_096, metrics.bufferedBytes.get());
    body.resize(CAPACITY_BYTES * 2);
    assertFalse(
        bufferedBodies.newBody(8).tryResize(1), "no free capacity: buffered bytes exceed it");
    body.release();
    body.release();
    assertEquals(0, metrics.bufferedBytes.get());
  }

  @Test
  void capacityIsNeverExceededForManySeeds() {
    for (long seed = 1; seed <= 200; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      List<BufferedBodies.Body> bodies = new ArrayList<>();
      for (int i = 0; i < 2_000; i++) {
        if (random.nextBoolean() || bodies.isEmpty()) {
          BufferedBodies.Body body = bufferedBodies.newBody(random.nextInt(5));
          body.tryResize(random.nextInt(BODY_BYTES));
          bodies.add(body);
        } else {
          bodies.remove(random.nextInt(bodies.size())).release();
        }
        long bufferedBytes = metrics.bufferedBytes.get();
        assertTrue(
            bufferedBytes >= 0 && bufferedBytes <= CAPACITY_BYTES,
            "seed " + seed + ": " + bufferedBytes);
      }
      bodies.forEach(BufferedBodies.Body::release);
      assertEquals(0, metrics.bufferedBytes.get(), "seed " + seed);
    }
  }
}

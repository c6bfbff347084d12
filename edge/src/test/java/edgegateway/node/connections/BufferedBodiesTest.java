package edgegateway.node.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The bound on bodies that are held. */
class BufferedBodiesTest {
  private static final int MOST = 1_200_000;
  private static final int BODY = 65_536;
  private final ConnectionMetrics counts = new ConnectionMetrics();
  private final BufferedBodies held = new BufferedBodies(counts);

  private BufferedBodiesTest() {
    held.applyBudget(new DescriptorBudget(1, 1, 1, 1, 1, MOST, 1, List.of()));
  }

  @Test
  void oneCustomerAloneGetsTwoThirdsAndOthersStillSome() {
    int bodies = 0;
    while (held.newBody(7).tryResize(BODY)) {
      bodies++;
    }
    assertEquals(MOST * 2 / 3 / BODY, bodies);
    for (int customer = 100; customer < 104; customer++) {
      assertTrue(held.newBody(customer).tryResize(BODY), "customer " + customer);
    }
    assertEquals(1, counts.bodiesRejected.get());
  }

  @Test
  void whatGrowsIsCountedAsItGrows() {
    BufferedBodies.Body body = held.newBody(7);
    assertTrue(body.tryResize(512));
    assertTrue(body.tryResize(4_096));
    assertEquals(4_096, counts.bufferedBytes.get());
    body.resize(MOST * 2);
    assertFalse(held.newBody(8).tryResize(1), "there is less than nothing left");
    body.release();
    body.release();
    assertEquals(0, counts.bufferedBytes.get());
  }

  @Test
  void manySeeds() {
    for (long seed = 1; seed <= 200; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      List<BufferedBodies.Body> bodies = new ArrayList<>();
      for (int i = 0; i < 2_000; i++) {
        if (random.nextBoolean() || bodies.isEmpty()) {
          BufferedBodies.Body body = held.newBody(random.nextInt(5));
          body.tryResize(random.nextInt(BODY));
          bodies.add(body);
        } else {
          bodies.remove(random.nextInt(bodies.size())).release();
        }
        long now = counts.bufferedBytes.get();
        assertTrue(now >= 0 && now <= MOST, "seed " + seed + ": " + now);
      }
      bodies.forEach(BufferedBodies.Body::release);
      assertEquals(0, counts.bufferedBytes.get(), "seed " + seed);
    }
  }
}

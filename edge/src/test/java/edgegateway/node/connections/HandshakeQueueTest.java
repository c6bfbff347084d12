package edgegateway.node.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Whose handshake goes on and who waits. */
class HandshakeQueueTest {
  private static final class One implements HandshakeQueue.PendingHandshake {
    private int begun;

    @Override
    public void begin() {
      begun++;
    }
  }

  @Test
  void soManyRunAndSoManyWaitAndNoMore() {
    HandshakeQueue handshakes = new HandshakeQueue(2);
    List<One> all = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      all.add(new One());
      assertEquals(i < 34, handshakes.submit(all.get(i)), "number " + i);
    }
    assertEquals(List.of(2, 32), List.of(handshakes.runningCount(), handshakes.queuedCount()));
    handshakes.remove(all.get(3));
    handshakes.remove(all.get(0));
    handshakes.remove(all.get(0));
    assertEquals(1, all.get(2).begun);
    assertEquals(0, all.get(3).begun);
    assertEquals(List.of(2, 30), List.of(handshakes.runningCount(), handshakes.queuedCount()));
  }

  @Test
  void manySeeds() {
    for (long seed = 1; seed <= 100; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      int most = random.nextInt(1, 6);
      HandshakeQueue handshakes = new HandshakeQueue(most);
      Set<One> in = new HashSet<>();
      for (int i = 0; i < 2_000; i++) {
        if (random.nextInt(3) > 0) {
          One one = new One();
          if (handshakes.submit(one)) {
            in.add(one);
          }
        } else if (!in.isEmpty()) {
          One one = in.iterator().next();
          in.remove(one);
          handshakes.remove(one);
        }
        long begun = in.stream().filter(one -> one.begun == 1).count();
        assertEquals(Math.min(most, in.size()), begun, "seed " + seed);
        assertTrue(in.stream().allMatch(one -> one.begun <= 1), "seed " + seed);
        assertEquals(
            in.size(), handshakes.runningCount() + handshakes.queuedCount(), "seed " + seed);
      }
    }
  }
}

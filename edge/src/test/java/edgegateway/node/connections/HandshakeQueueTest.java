package edgegateway.node.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Which handshakes run, are queued or are rejected. */
class HandshakeQueueTest {
  private static final class FakeHandshake implements HandshakeQueue.PendingHandshake {
    private int begun;

    @Override
    public void begin() {
      begun++;
    }
  }

  @Test
  void handshakesOverTheLimitAreQueuedAndThenRejected() {
    HandshakeQueue queue = new HandshakeQueue(2);
    List<FakeHandshake> all = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      all.add(new FakeHandshake());
      assertEquals(i < 34, queue.submit(all.get(i)), "handshake " + i);
    }
    assertEquals(List.of(2, 32), List.of(queue.runningCount(), queue.queuedCount()));
    queue.remove(all.get(3));
    queue.remove(all.get(0));
    queue.remove(all.get(0));
    assertEquals(1, all.get(2).begun);
    assertEquals(0, all.get(3).begun);
    assertEquals(List.of(2, 30), List.of(queue.runningCount(), queue.queuedCount()));
  }

  @Test
  void limitsHoldForManySeeds() {
    for (long seed = 1; seed <= 100; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      int maxRunning = random.nextInt(1, 6);
      HandshakeQueue queue = new HandshakeQueue(maxRunning);
      Set<FakeHandshake> accepted = new HashSet<>();
      for (int i = 0; i < 2_000; i++) {
        if (random.nextInt(3) > 0) {
          FakeHandshake handshake = new FakeHandshake();
          if (queue.submit(handshake)) {
            accepted.add(handshake);
          }
        } else if (!accepted.isEmpty()) {
          FakeHandshake handshake = accepted.iterator().next();
          accepted.remove(handshake);
          queue.remove(handshake);
        }
        long begun = accepted.stream().filter(handshake -> handshake.begun == 1).count();
        assertEquals(Math.min(maxRunning, accepted.size()), begun, "seed " + seed);
        assertTrue(accepted.stream().allMatch(handshake -> handshake.begun <= 1), "seed " + seed);
        assertEquals(accepted.size(), queue.runningCount() + queue.queuedCount(), "seed " + seed);
      }
    }
  }
}

package edgegateway.node.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Random sequences of events on a table of client connections. */
class ClientConnectionTableScenarioTest extends ClientConnectionTableFixture {
  /**
   * Random sequences of events: limits hold, no request in flight and no unwritten response is
   * closed, no connection is evicted too early, and all connections are removed at the end.
   */
  @Test
  void invariantsHoldForManySeeds() {
    for (long seed = 1; seed <= 200; seed++) {
      try {
        new ClientConnectionTableScenarioTest().runRandomEvents(seed);
      } catch (AssertionError e) {
        throw new AssertionError("seed " + seed, e);
      }
    }
  }

  private void runRandomEvents(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int capacity = random.nextInt(4, 40);
    int rejectionSlots = random.nextInt(2, 8);
    applyBudget(capacity, rejectionSlots);
    List<FakeClient> open = new ArrayList<>();
    boolean shrunk = false;
    for (int i = 0; i < 3_000; i++) {
      advance(random.nextInt(20) == 0 ? random.nextInt(1_500) : random.nextInt(30));
      connectSometimes(open, random);
      open.removeIf(client -> client.closed);
      if (!open.isEmpty()) {
        act(open.get(random.nextInt(open.size())), random);
      }
      if (random.nextInt(10) == 0) {
        table.enforceTimeouts(now);
      }
      if (random.nextInt(1_000) == 0) {
        shrunk = true;
        table.descriptorsExhausted(now);
      }
      assertTrue(shrunk || table.openCount() <= capacity + rejectionSlots, "step " + i);
      assertEquals(
          open.stream().filter(client -> !client.closed).count(), table.openCount(), "step " + i);
    }
    List.copyOf(open).stream().filter(client -> !client.closed).forEach(this::leave);
    assertEquals(0, table.openCount());
    for (String name : List.of("open", "idle", "handshaking")) {
      assertEquals(0L, metricValues().get(name), name);
    }
  }

  /** Some peers connect far more often than others. */
  private void connectSometimes(List<FakeClient> open, SplittableRandom random) {
    int peer = (int) (10 * Math.pow(random.nextDouble(), 3));
    if (random.nextInt(3) > 0) {
      FakeClient client = new FakeClient(peer);
      if (client.connection != null) {
        open.add(client);
      }
    }
  }

  private void act(FakeClient client, SplittableRandom random) {
    switch (random.nextInt(6)) {
      case 0 -> client.connection.bytesReceived(now, 0);
      case 1 -> {
        if (!client.busy) {
          client.connection.headReceived(now);
          client.connection.requestReceived();
          client.busy = true;
        }
      }
      case 2, 3 -> {
        if (client.busy) {
          respond(client, random.nextBoolean());
        }
      }
      case 4 -> {
        if (client.connection.hasUnwrittenResponse()) {
          client.completeWrite();
        }
      }
      default -> leave(client);
    }
  }

  private void respond(FakeClient client, boolean unwritten) {
    client.busy = false;
    if (unwritten && !client.connection.hasUnwrittenResponse()) {
      client.startWrite();
    }
    client.connection.responseSubmitted(now);
    client.idleSince = now;
  }

  private void leave(FakeClient client) {
    client.busy = false;
    client.leaving = true;
    client.close();
  }
}

package edgegateway.node.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** The table of clients' connections, on a clock of its own. */
class ClientConnectionTableTest {
  private static final long MS = 1_000_000L;
  private final ConnectionMetrics counts = new ConnectionMetrics();
  private final List<Held> ended = new ArrayList<>();
  private boolean stepWanted;
  private long evictions;
  private final ClientConnectionTable table =
      new ClientConnectionTable(
          () -> {
            assertFalse(stepWanted, "a step is wanted already");
            stepWanted = true;
          },
          counts);
  private long now = 5_000_000 * MS;

  /** A connection in memory. */
  private final class Held implements TransportHandle {
    private final ClientConnection entry;
    private final int peer;
    private long restingSince = now;
    private boolean closed;
    private boolean busy;

    Held(int peer) {
      this.peer = peer;
      entry = table.accept(now, address(peer), false, this);
    }

    void serve() {
      entry.headReceived(now);
      entry.requestReceived();
      entry.responseSent(now);
      restingSince = now;
    }

    @Override
    public void close() {
      assertFalse(busy, "a taken request is lost");
      assertFalse(closed, "closed twice");
      closed = true;
      ended.add(this);
      if (figures().get("evicted") > evictions) {
        evictions++;
        assertTrue(
            now - restingSince >= 2_000 * MS, "evicted after " + (now - restingSince) / MS + " ms");
      }
      entry.closed();
    }
  }

  private static SocketAddress address(int peer) {
    return new InetSocketAddress("10.0." + peer / 256 + "." + peer % 256, 1000);
  }

  private void bound(int clients, int lane) {
    table.applyBudget(
        now, new DescriptorBudget(clients, lane, 10, 10, 4, 1 << 20, 75_000 * MS, List.of()));
  }

  private void pass(long ms) {
    now += ms * MS;
    while (stepWanted) {
      stepWanted = false;
      table.evictSelected(now);
    }
  }

  private Map<String, Long> figures() {
    Map<String, Long> figures = new TreeMap<>();
    counts.forEach(figures::put);
    return figures;
  }

  @Test
  void whileThereIsRoomNobodyIsBounded() {
    bound(100, 8);
    for (int i = 0; i < 100; i++) {
      assertFalse(new Held(1).entry.isOverCapacity());
    }
    assertEquals(100, table.openCount());
    assertTrue(ended.isEmpty());
  }

  @Test
  void thePeerWithTheMostGivesUpItsLongestIdle() {
    bound(10, 4);
    List<Held> greedy = new ArrayList<>();
    Held lone = new Held(2);
    lone.serve();
    for (int i = 0; i < 9; i++) {
      pass(1);
      greedy.add(new Held(1));
      greedy.get(i).serve();
    }
    greedy.get(0).serve();
    pass(2_000);
    Held newcomer = new Held(3);
    assertFalse(newcomer.entry.isOverCapacity());
    pass(1);
    assertEquals(
        List.of(greedy.get(1)), ended, "not the longest idle of all, nor one that was used since");
    assertEquals(1L, figures().get("evicted"));
  }

  @Test
  void nothingIsClosedBeforeItHasBeenIdleForTwoSeconds() {
    bound(10, 4);
    for (int i = 0; i < 10; i++) {
      new Held(1).serve();
    }
    pass(1_999);
    assertFalse(new Held(2).entry.isOverCapacity(), "who has fewer is served beyond the bound");
    assertTrue(new Held(1).entry.isOverCapacity(), "who has the most is turned away");
    pass(0);
    assertTrue(ended.isEmpty());
    pass(1);
    assertFalse(new Held(1).entry.isOverCapacity());
    pass(0);
    assertEquals(2, ended.size());
  }

  @Test
  void aRequestThatCrossesAnEvictionIsKept() {
    bound(2, 2);
    Held first = new Held(1);
    first.serve();
    pass(1);
    Held second = new Held(1);
    second.serve();
    pass(2_500);
    assertFalse(new Held(2).entry.isOverCapacity());
    // It was chosen, and its request comes before its turn.
    first.entry.headReceived(now);
    first.entry.requestReceived();
    first.busy = true;
    pass(1);
    assertEquals(List.of(second), ended, "another one gives way");
  }

  @Test
  void silentAndSlowNewcomersCanNotKeepOthersOut() {
    bound(20, 8);
    for (int i = 0; i < 20; i++) {
      Held silent = new Held(1);
      if (i % 2 == 0) {
        silent.entry.bytesReceived(now, 0);
      }
    }
    for (int i = 0; i < 40; i++) {
      new Held(1);
    }
    int served = 0;
    for (int peer = 2; peer < 6; peer++) {
      Held other = new Held(peer);
      served += other.entry != null && !other.entry.isOverCapacity() ? 1 : 0;
    }
    assertEquals(4, served);
    pass(2_401);
    table.enforceTimeouts(now);
    assertEquals(0, table.openCount(), "all of them have brought nothing");
  }

  @Test
  void oneFrontHasAllPlacesAndIsTurnedAwayBeyond() {
    bound(10, 6);
    for (int i = 0; i < 10; i++) {
      Held held = new Held(1);
      held.entry.headReceived(now);
      held.entry.requestReceived();
      held.busy = true;
    }
    Held away = new Held(1);
    assertTrue(away.entry.isOverCapacity());
    assertTrue(away.entry.shouldCloseAfterResponse());
    Held second = new Held(1);
    assertNotNull(second.entry);
    pass(1);
    assertNotNull(new Held(1).entry);
    assertEquals(List.of(away), ended, "two thirds of the lane stay for others");
    second.entry.headReceived(now);
    second.entry.requestReceived();
    second.busy = true;
    pass(501);
    table.enforceTimeouts(now);
    assertEquals(2L, figures().get("timed_out.crowded"));
    assertEquals(3L, figures().get("refused"));
  }

  @Test
  void timesAreKept() {
    bound(100, 8);
    Held silent = new Held(1);
    Held slow = new Held(2);
    slow.entry.bytesReceived(now, 0);
    Held body = new Held(3);
    body.entry.headReceived(now);
    Held unread = new Held(4);
    unread.serve();
    unread.entry.writeStarted(now);
    Held idle = new Held(5);
    idle.serve();
    Held shaking = new Held(6);
    Held tls = tls(7);
    Held busy = new Held(8);
    busy.entry.headReceived(now);
    busy.entry.requestReceived();
    busy.busy = true;
    shaking.serve();
    long began = now;
    Map<String, Long> at = new HashMap<>();
    while (now < began + 80_000 * MS) {
      now += 50 * MS;
      Map<String, Long> before = figures();
      table.enforceTimeouts(now);
      figures()
          .forEach(
              (name, value) -> {
                if (value > before.get(name) && name.startsWith("timed")) {
                  at.putIfAbsent(name, (now - began) / MS);
                }
              });
    }
    assertTrue(
        silent.closed && slow.closed && body.closed && unread.closed && idle.closed && tls.closed);
    assertFalse(busy.closed);
    assertEquals(
        Map.of(
            "timed_out.handshake",
            1_550L,
            "timed_out.head",
            2_450L,
            "timed_out.body",
            2_450L,
            "timed_out.unread",
            8_050L,
            "timed_out.idle",
            75_050L),
        at);
  }

  private Held tls(int peer) {
    Held[] made = new Held[1];
    Held held = new Held(peer);
    held.entry.closed();
    held.closed = true;
    ClientConnection entry = table.accept(now, address(peer), true, () -> made[0].closed = true);
    made[0] = held;
    held.closed = false;
    assertEquals(1L, figures().get("handshaking"));
    assertNotNull(entry);
    return held;
  }

  @Test
  void aSteadyBodyHasAllTheTimeItNeeds() {
    bound(10, 4);
    Held steady = new Held(1);
    steady.entry.headReceived(now);
    for (int i = 0; i < 100; i++) {
      pass(100);
      steady.entry.bytesReceived(now, 6_400);
      table.enforceTimeouts(now);
    }
    assertFalse(steady.closed);
  }

  @Test
  void aDrainEndsThoseBetweenRequestsSomeAtATime() {
    bound(100, 8);
    for (int i = 0; i < 20; i++) {
      new Held(i).serve();
    }
    Held coming = new Held(50);
    coming.entry.bytesReceived(now, 0);
    table.setDraining(true);
    table.closeIdleConnections();
    stepWanted = false;
    table.evictSelected(now);
    assertEquals(4, ended.size());
    assertTrue(stepWanted);
    pass(0);
    assertEquals(20, ended.size());
    assertFalse(coming.closed);
    Held again = new Held(60);
    table.setDraining(false);
    pass(1_000);
    table.enforceTimeouts(now);
    assertFalse(again.closed);
  }

  @Test
  void aSmallerBoundIsReachedAsConnectionsBecomeIdle() {
    bound(20, 4);
    List<Held> all = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      Held held = new Held(1);
      held.serve();
      all.add(held);
      held.entry.headReceived(now);
      held.entry.requestReceived();
      held.busy = i < 15;
      if (!held.busy) {
        held.entry.responseSent(now);
      }
    }
    pass(2_001);
    bound(10, 2);
    pass(1);
    assertEquals(15, table.openCount());
    assertTrue(all.get(0).entry.shouldCloseAfterResponse(), "its answer says that it ends");
    all.get(0).busy = false;
    all.get(0).entry.responseSent(now);
    pass(2_001);
    table.enforceTimeouts(now);
    pass(1);
    assertEquals(14, table.openCount());
  }

  @Test
  void withoutDescriptorsTheTableKeepsBelowWhatItHad() {
    bound(100, 8);
    for (int i = 0; i < 40; i++) {
      new Held(1).serve();
    }
    pass(2_100);
    assertTrue(table.descriptorsExhausted(now));
    assertFalse(table.descriptorsExhausted(now), "told once");
    pass(1);
    assertEquals(32, table.openCount());
    Held first = new Held(2);
    pass(1);
    assertNotNull(first.entry);
    assertEquals(32, table.openCount(), "one gives way for it");
    // Later the bound goes up again.
    for (int i = 0; i < 10_000 && !stepWanted; i++) {
      now += 200 * MS;
      first.serve();
      table.enforceTimeouts(now);
      stepWanted = false;
    }
    assertTrue(table.descriptorsExhausted(now), "the lack is over, and another is news");
  }

  /**
   * Whatever happens: bounds hold, no request is lost, nobody gives way too early, and nothing is
   * left.
   */
  @Test
  void manySeeds() {
    for (long seed = 1; seed <= 200; seed++) {
      try {
        new ClientConnectionTableTest().play(seed);
      } catch (AssertionError e) {
        throw new AssertionError("seed " + seed, e);
      }
    }
  }

  private void play(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int most = random.nextInt(4, 40);
    int lane = random.nextInt(2, 8);
    bound(most, lane);
    List<Held> open = new ArrayList<>();
    boolean shrunk = false;
    for (int i = 0; i < 3_000; i++) {
      pass(random.nextInt(20) == 0 ? random.nextInt(1_500) : random.nextInt(30));
      // Some peers come far more often than others.
      int peer = (int) (10 * Math.pow(random.nextDouble(), 3));
      if (random.nextInt(3) > 0) {
        Held held = new Held(peer);
        if (held.entry != null) {
          open.add(held);
        }
      }
      open.removeIf(held -> held.closed);
      if (!open.isEmpty()) {
        Held held = open.get(random.nextInt(open.size()));
        switch (random.nextInt(5)) {
          case 0 -> held.entry.bytesReceived(now, 0);
          case 1 -> {
            if (!held.busy) {
              held.entry.headReceived(now);
              held.entry.requestReceived();
              held.busy = true;
            }
          }
          case 2, 3 -> {
            if (held.busy) {
              held.busy = false;
              held.entry.responseSent(now);
              held.restingSince = now;
            }
          }
          default -> {
            held.busy = false;
            held.close();
          }
        }
      }
      if (random.nextInt(10) == 0) {
        table.enforceTimeouts(now);
      }
      if (random.nextInt(1_000) == 0) {
        shrunk = true;
        table.descriptorsExhausted(now);
      }
      assertTrue(shrunk || table.openCount() <= most + lane, "step " + i);
      assertEquals(
          open.stream().filter(held -> !held.closed).count(), table.openCount(), "step " + i);
    }
    for (Held held : List.copyOf(open)) {
      if (!held.closed) {
        held.busy = false;
        held.close();
      }
    }
    assertEquals(0, table.openCount());
    for (String name : List.of("open", "idle", "handshaking")) {
      assertEquals(0L, figures().get(name), name);
    }
  }
}

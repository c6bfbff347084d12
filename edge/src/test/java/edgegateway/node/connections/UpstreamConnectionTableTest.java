package edgegateway.node.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Connections to archive servers, on a clock and a network of the test's own. */
class UpstreamConnectionTableTest {
  private static final long MS = 1_000_000L;
  private static final long KEEP_ALIVE = 15_000 * MS;
  private final ConnectionMetrics counts = new ConnectionMetrics();
  private final List<UpstreamConnection> dialed = new ArrayList<>();
  private final List<UpstreamConnection> closed = new ArrayList<>();
  private final List<Upstream> later = new ArrayList<>();
  private long now = 7_000_000 * MS;
  private final UpstreamConnectionTable servers =
      new UpstreamConnectionTable(
          new UpstreamTransport() {
            @Override
            public void connect(UpstreamConnection link) {
              link.attachTransport(() -> closed.add(link));
              dialed.add(link);
            }

            @Override
            public void scheduleConnect(Upstream target, long span) {
              later.add(target);
            }
          },
          counts,
          5,
          KEEP_ALIVE);

  UpstreamConnectionTableTest() {
    bound(100, 10);
  }

  private void bound(int all, int each) {
    servers.applyBudget(new DescriptorBudget(1, 1, all, each, 1, 1, 1, List.of()));
  }

  /** An attempt: what it was told. */
  private static class Want implements ConnectionWaiter {
    private UpstreamConnection by;
    private Boolean none;

    @Override
    public void connectionReady(UpstreamConnection link) {
      assertNull(by, "used twice");
      assertNull(none, "used after a no");
      by = link;
    }

    @Override
    public void noConnection(boolean own) {
      assertNull(by, "a no after its use");
      assertNull(none, "two noes");
      none = own;
    }
  }

  private Want want(Upstream target) {
    Want want = new Want();
    target.acquire(now, want);
    return want;
  }

  /** A connection that is made and has answered once. */
  private UpstreamConnection proven(Upstream target) {
    Want want = want(target);
    dialed.get(dialed.size() - 1).connected(now);
    now += 100 * MS;
    want.by.responseReceived(now, true);
    return want.by;
  }

  @Test
  void idleConnectionsAreReusedMostRecentFirst() {
    Upstream target = servers.addUpstream("a", false);
    Want first = want(target);
    Want second = want(target);
    dialed.forEach(link -> link.connected(now));
    first.by.responseReceived(now, true);
    second.by.responseReceived(now, true);
    assertSame(second.by, want(target).by);
    assertSame(first.by, want(target).by);
    assertEquals(2, dialed.size());
    assertEquals(2, counts.upstreamReuses.get());
  }

  @Test
  void aWaiterGetsTheFirstReleasedConnectionAndTheNewOneStaysIdle() {
    Upstream target = servers.addUpstream("a", false);
    UpstreamConnection link = proven(target);
    Want busy = want(target);
    Want waits = want(target);
    assertNull(waits.by);
    busy.by.responseReceived(now, true);
    assertSame(link, waits.by);
    dialed.get(1).connected(now);
    assertSame(dialed.get(1), want(target).by);
  }

  @Test
  void aWaiterWaitsForAConnectionThatIsReleasedSoonerThanANewOneOpens() {
    Upstream target = servers.addUpstream("a", false);
    Want slow = want(target);
    now += 80 * MS;
    dialed.get(0).connected(now);
    now += 100 * MS;
    slow.by.responseReceived(now, true);
    Want busy = want(target);
    now += 95 * MS;
    // It is due in 5 ms, and a new one took 80.
    Want waits = want(target);
    assertEquals(1, dialed.size());
    assertEquals(List.of(target), later);
    busy.by.responseReceived(now, true);
    assertNotNull(waits.by);
    assertEquals(1, dialed.size());
    // One that is overdue for long is not waited for.
    now += 300 * MS;
    want(target);
    assertEquals(2, dialed.size());
  }

  @Test
  void duringSlowStartConnectionsAreOpenedOneAtATime() {
    Upstream target = servers.addUpstream("a", true);
    List<Want> wants = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      wants.add(want(target));
    }
    assertEquals(1, dialed.size());
    dialed.get(0).connected(now);
    assertNotNull(wants.get(0).by);
    assertEquals(2, dialed.size());
    wants.get(0).by.responseReceived(now, true);
    assertNotNull(wants.get(1).by);
    assertEquals(3, dialed.size(), "it has answered, and one more waits than connections come");
  }

  @Test
  void refusedConnectsAreFollowedByAGrowingBackoff() {
    Upstream target = servers.addUpstream("a", false);
    long before = 0;
    for (int i = 0; i < 10; i++) {
      Want want = want(target);
      assertEquals(i + 1, dialed.size());
      dialed.get(i).connectFailed(now, ConnectFailure.REFUSED);
      assertEquals(false, want.none);
      long began = now;
      while (dialed.size() == i + 1) {
        Want early = want(target);
        if (early.none == null) {
          dialed.remove(i + 1).connectFailed(now, ConnectFailure.NO_DESCRIPTOR);
          break;
        }
        assertEquals(false, early.none, "who comes meanwhile is told at once");
        now += MS;
      }
      long waited = now - began;
      assertTrue(waited >= before / 2 && waited <= 1_021 * MS, "after " + i + ": " + waited / MS);
      before = Math.max(before, waited);
      now += 21 * MS;
    }
    assertTrue(before > 400 * MS);
  }

  @Test
  void beyondTheLearnedLimitWaitersGetTheOpenConnections() {
    Upstream target = servers.addUpstream("a", false);
    UpstreamConnection only = proven(target);
    Want busy = want(target);
    Want second = want(target);
    dialed.get(1).connectFailed(now, ConnectFailure.REFUSED);
    assertNull(second.none, "it is served by the one there is");
    now += 1_500 * MS;
    Want third = want(target);
    assertEquals(2, dialed.size());
    busy.by.responseReceived(now, true);
    assertSame(only, second.by);
    second.by.responseReceived(now, true);
    assertSame(only, third.by);
    now += 2_500 * MS;
    want(target);
    assertEquals(3, dialed.size(), "after a while it may have room for one more");
  }

  /** One of two connections is in use and has timed out; returns the other one. */
  private UpstreamConnection afterASilence(Upstream target) {
    Want first = want(target);
    Want second = want(target);
    dialed.forEach(link -> link.connected(now));
    first.by.responseReceived(now, true);
    second.by.responseReceived(now, true);
    now += 1_000 * MS;
    Want used = want(target);
    assertSame(second.by, used.by);
    now += 1_000 * MS;
    used.by.timedOut(now);
    used.by.closed(now);
    return first.by;
  }

  @Test
  void aSuspectedUpstreamIsTrustedAgainAfterAResponse() {
    Upstream target = servers.addUpstream("a", false);
    UpstreamConnection idle = afterASilence(target);
    Want next = want(target);
    assertNull(next.by, "what is idle may be dead");
    UpstreamConnection fresh = dialed.get(2);
    fresh.connected(now);
    assertSame(fresh, next.by);
    Want meanwhile = want(target);
    assertNull(meanwhile.by);
    fresh.responseReceived(now, true);
    assertSame(fresh, meanwhile.by);
    assertSame(idle, want(target).by);
  }

  @Test
  void idleConnectionsOfAnUnreachableUpstreamAreClosed() {
    Upstream target = servers.addUpstream("a", false);
    UpstreamConnection idle = afterASilence(target);
    Want next = want(target);
    dialed.get(2).connectFailed(now, ConnectFailure.UNRESPONSIVE);
    assertEquals(false, next.none);
    assertEquals(List.of(idle), closed);
    assertEquals(0, target.connectionCount());
  }

  @Test
  void aTimeoutBesideOtherResponsesRaisesNoSuspicion() {
    Upstream target = servers.addUpstream("a", false);
    proven(target);
    Want slow = want(target);
    Want quick = want(target);
    dialed.get(1).connected(now);
    now += 500 * MS;
    quick.by.responseReceived(now, true);
    slow.by.timedOut(now);
    slow.by.closed(now);
    assertSame(quick.by, want(target).by);
  }

  @Test
  void idleConnectionsAreClosedAheadOfTheServersKeepAlive() {
    Upstream target = servers.addUpstream("a", false);
    UpstreamConnection link = proven(target);
    now += KEEP_ALIVE - 1_600 * MS;
    servers.closeExpired(now);
    assertTrue(closed.isEmpty());
    now += 200 * MS;
    servers.closeExpired(now);
    assertEquals(List.of(link), closed);
  }

  @Test
  void atTheBoundTheLongestIdleConnectionOfAnotherUpstreamIsClosed() {
    bound(3, 2);
    Upstream a = servers.addUpstream("a", false);
    Upstream b = servers.addUpstream("b", false);
    UpstreamConnection oldest = proven(a);
    now += MS;
    want(a);
    Want busy = want(a);
    dialed.get(1).connected(now);
    Want more = want(a);
    assertNull(more.by);
    assertEquals(2, dialed.size(), "two are the most for one of them");
    oldest.responseReceived(now, true);
    assertSame(oldest, more.by);
    oldest.responseReceived(now, true);
    now += MS;
    want(b);
    Want second = want(b);
    assertEquals(4, dialed.size());
    assertEquals(List.of(oldest), closed);
    Want third = want(servers.addUpstream("c", false));
    assertEquals(true, third.none, "it is the node's own bound, not the server's fault");
    assertNull(second.none);
    assertNotNull(busy.by);
  }

  @Test
  void aRetiredUpstreamKeepsNoConnection() {
    Upstream old = servers.addUpstream("a", false);
    UpstreamConnection idle = proven(old);
    Want busy = want(old);
    Want waiting = want(old);
    assertSame(idle, busy.by);
    old.retire();
    assertEquals(true, waiting.none, "a server that was told to leave has failed nobody");
    busy.by.responseReceived(now, true);
    assertEquals(List.of(idle), closed);
    dialed.get(1).connected(now);
    assertEquals(2, closed.size());
    assertEquals(0, counts.upstreamsOpen.get());
    assertEquals(true, want(old).none);
  }

  @Test
  void aLackOfDescriptorsIsNoConnectFailure() {
    Upstream target = servers.addUpstream("a", false);
    Want want = want(target);
    dialed.get(0).connectFailed(now, ConnectFailure.NO_DESCRIPTOR);
    assertEquals(true, want.none);
    now += 21 * MS;
    want(target);
    want(target);
    assertEquals(3, dialed.size(), "it is dialed as one that never failed");
  }

  @Test
  void aCancelledWaiterGetsNoConnection() {
    Upstream target = servers.addUpstream("a", false);
    Want want = want(target);
    assertTrue(target.cancel(want));
    assertFalse(target.cancel(want));
    dialed.get(0).connected(now);
    assertNull(want.by);
    assertSame(dialed.get(0), want(target).by);
  }

  /** Whatever happens: each attempt is told once, bounds hold, and nothing is left. */
  @Test
  void everyWaiterIsToldOnceAndBoundsHoldWhateverHappens() {
    for (long seed = 1; seed <= 200; seed++) {
      try {
        new UpstreamConnectionTableTest().play(new SplittableRandom(seed));
      } catch (AssertionError | RuntimeException e) {
        throw new AssertionError("seed " + seed, e);
      }
    }
  }

  private record Event(long at, Runnable what) {}

  private void play(SplittableRandom random) {
    int all = random.nextInt(4, 30);
    int each = random.nextInt(1, 8);
    bound(all, each);
    PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    List<Upstream> targets = new ArrayList<>();
    Map<Upstream, Integer> room = new HashMap<>();
    for (int i = 0; i < 6; i++) {
      targets.add(servers.addUpstream(i, random.nextBoolean()));
      room.put(targets.get(i), random.nextInt(0, 6));
    }
    List<Want> wants = new ArrayList<>();
    for (int i = 0; i < 2_000; i++) {
      now += random.nextLong(20 * MS);
      while (!events.isEmpty() && events.peek().at <= now) {
        events.poll().what.run();
      }
      if (random.nextInt(300) == 0) {
        int at = random.nextInt(targets.size());
        targets.get(at).retire();
        targets.set(at, servers.addUpstream(i, true));
        room.put(targets.get(at), random.nextInt(0, 6));
      }
      if (random.nextInt(100) == 0) {
        servers.closeExpired(now);
      }
      Want want =
          new Want() {
            @Override
            public void connectionReady(UpstreamConnection link) {
              super.connectionReady(link);
              long end = now + random.nextLong(200 * MS);
              int how = random.nextInt(20);
              events.add(
                  new Event(
                      end,
                      () -> {
                        if (how == 0) {
                          link.timedOut(now);
                          link.closed(now);
                        } else if (how == 1) {
                          link.closed(now);
                        } else {
                          link.responseReceived(now, how > 3);
                        }
                      }));
            }
          };
      wants.add(want);
      Upstream target = targets.get(random.nextInt(targets.size()));
      target.acquire(now, want);
      events.add(
          new Event(
              now + 500 * MS,
              () -> {
                if (want.by == null && want.none == null) {
                  assertTrue(target.cancel(want), "lost");
                  want.none = true;
                }
              }));
      for (UpstreamConnection link : dialed) {
        int roomThere = room.get(link.upstream());
        long at = now + random.nextLong(30 * MS);
        boolean yes = link.upstream().connectionCount() <= roomThere && random.nextInt(10) > 0;
        ConnectFailure how = ConnectFailure.values()[random.nextInt(3)];
        events.add(
            new Event(
                at,
                () -> {
                  if (yes) {
                    link.connected(now);
                  } else {
                    link.connectFailed(now, how);
                  }
                }));
      }
      dialed.clear();
      for (Upstream one : later) {
        events.add(new Event(now + 5 * MS, () -> one.connectIfNeeded(now)));
      }
      later.clear();
      assertTrue(counts.upstreamsOpen.get() <= all, counts.upstreamsOpen + " of " + all);
      for (Upstream one : targets) {
        assertTrue(one.connectionCount() <= each, one.connectionCount() + " of " + each);
      }
    }
    targets.forEach(Upstream::retire);
    while (!events.isEmpty()) {
      now = Math.max(now, events.peek().at);
      events.poll().what.run();
      for (UpstreamConnection link : dialed) {
        link.connectFailed(now, ConnectFailure.REFUSED);
      }
      dialed.clear();
    }
    for (Want want : wants) {
      assertTrue(want.by != null || want.none != null, "never told");
    }
    assertEquals(0, counts.upstreamsOpen.get());
  }
}

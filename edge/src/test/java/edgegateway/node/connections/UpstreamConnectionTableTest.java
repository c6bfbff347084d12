package edgegateway.node.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The rules of the table and of its upstreams, with a fake clock and a fake transport. */
class UpstreamConnectionTableTest {
  private static final long MS = 1_000_000L;
  private static final long KEEP_ALIVE_NANOS = 15_000 * MS;
  private final ConnectionMetrics metrics = new ConnectionMetrics();
  private final List<UpstreamConnection> opened = new ArrayList<>();
  private final List<UpstreamConnection> closed = new ArrayList<>();
  private final List<Upstream> rechecks = new ArrayList<>();
  private long now = 7_000_000 * MS;
  private final UpstreamConnectionTable table =
      new UpstreamConnectionTable(
          new UpstreamTransport() {
            @Override
            public void connect(UpstreamConnection connection) {
              connection.attachTransport(() -> closed.add(connection));
              opened.add(connection);
            }

            @Override
            public void scheduleRecheck(Upstream upstream, long delayNanos) {
              rechecks.add(upstream);
            }
          },
          metrics,
          5,
          KEEP_ALIVE_NANOS);

  UpstreamConnectionTableTest() {
    applyLimits(100, 10);
  }

  private void applyLimits(int maxOpen, int maxOpenPerUpstream) {
    table.applyBudget(new DescriptorBudget(1, 1, maxOpen, maxOpenPerUpstream, 1, 1, 1, List.of()));
  }

  private RecordingWaiter acquire(Upstream upstream) {
    RecordingWaiter waiter = new RecordingWaiter();
    upstream.acquire(now, waiter);
    return waiter;
  }

  /** Opens a connection that has received one response and is idle. */
  private UpstreamConnection openAndRespond(Upstream upstream) {
    RecordingWaiter waiter = acquire(upstream);
    opened.get(opened.size() - 1).connected(now);
    now += 100 * MS;
    waiter.connection.responseReceived(now, true);
    return waiter.connection;
  }

  @Test
  void theMostRecentlyUsedIdleConnectionIsReusedFirst() {
    Upstream upstream = table.createUpstream("a", false);
    RecordingWaiter first = acquire(upstream);
    RecordingWaiter second = acquire(upstream);
    opened.forEach(connection -> connection.connected(now));
    first.connection.responseReceived(now, true);
    second.connection.responseReceived(now, true);
    assertSame(second.connection, acquire(upstream).connection);
    assertSame(first.connection, acquire(upstream).connection);
    assertEquals(2, opened.size());
    assertEquals(2, metrics.upstreamReuses.get());
  }

  @Test
  void aWaiterGetsAReleasedConnectionAndTheNewConnectionBecomesIdle() {
    Upstream upstream = table.createUpstream("a", false);
    UpstreamConnection connection = openAndRespond(upstream);
    RecordingWaiter busy = acquire(upstream);
    RecordingWaiter waiter = acquire(upstream);
    assertNull(waiter.connection);
    busy.connection.responseReceived(now, true);
    assertSame(connection, waiter.connection);
    opened.get(1).connected(now);
    assertSame(opened.get(1), acquire(upstream).connection);
  }

  @Test
  void noConnectionIsOpenedIfAReleaseIsExpectedSooner() {
    Upstream upstream = table.createUpstream("a", false);
    RecordingWaiter slow = acquire(upstream);
    now += 80 * MS;
    opened.get(0).connected(now);
    now += 100 * MS;
    slow.connection.responseReceived(now, true);
    RecordingWaiter busy = acquire(upstream);
    now += 95 * MS;
    // Its release is expected in 5 ms, and a new connection takes 80 ms.
    RecordingWaiter waiter = acquire(upstream);
    assertEquals(1, opened.size());
    assertEquals(List.of(upstream), rechecks);
    busy.connection.responseReceived(now, true);
    assertNotNull(waiter.connection);
    assertEquals(1, opened.size());
    // No waiter relies on a connection that is long overdue.
    now += 300 * MS;
    acquire(upstream);
    assertEquals(2, opened.size());
  }

  @Test
  void duringSlowStartOnlyASingleConnectIsPending() {
    Upstream upstream = table.createUpstream("a", true);
    List<RecordingWaiter> waiters = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      waiters.add(acquire(upstream));
    }
    assertEquals(1, opened.size());
    opened.get(0).connected(now);
    assertNotNull(waiters.get(0).connection);
    assertEquals(2, opened.size());
    waiters.get(0).connection.responseReceived(now, true);
    assertNotNull(waiters.get(1).connection);
    assertEquals(
        3,
        opened.size(),
        "slow start is over, and there are more waiters than connecting connections");
  }

  @Test
  void backoffGrowsWithEachRefusedConnect() {
    Upstream upstream = table.createUpstream("a", false);
    long longestWaitNanos = 0;
    for (int i = 0; i < 10; i++) {
      RecordingWaiter waiter = acquire(upstream);
      assertEquals(i + 1, opened.size());
      opened.get(i).connectFailed(now, ConnectFailure.REFUSED);
      assertEquals(false, waiter.localCause);
      long startedAtNanos = now;
      while (opened.size() == i + 1) {
        RecordingWaiter early = acquire(upstream);
        if (early.localCause == null) {
          opened.remove(i + 1).connectFailed(now, ConnectFailure.NO_DESCRIPTOR);
          break;
        }
        assertEquals(
            false, early.localCause, "a waiter during the backoff is rejected immediately");
        now += MS;
      }
      long waitedNanos = now - startedAtNanos;
      assertTrue(
          waitedNanos >= longestWaitNanos / 2 && waitedNanos <= 1_021 * MS,
          "backoff in ms after failure " + i + ": " + waitedNanos / MS);
      longestWaitNanos = Math.max(longestWaitNanos, waitedNanos);
      now += 21 * MS;
    }
    assertTrue(longestWaitNanos > 400 * MS);
  }

  @Test
  void atTheLearnedLimitWaitersGetTheOpenConnections() {
    Upstream upstream = table.createUpstream("a", false);
    UpstreamConnection only = openAndRespond(upstream);
    RecordingWaiter busy = acquire(upstream);
    RecordingWaiter second = acquire(upstream);
    opened.get(1).connectFailed(now, ConnectFailure.REFUSED);
    assertNull(second.localCause, "it waits for the open connection");
    now += 1_500 * MS;
    RecordingWaiter third = acquire(upstream);
    assertEquals(2, opened.size());
    busy.connection.responseReceived(now, true);
    assertSame(only, second.connection);
    second.connection.responseReceived(now, true);
    assertSame(only, third.connection);
    now += 2_500 * MS;
    acquire(upstream);
    assertEquals(3, opened.size(), "the learned limit has grown by one");
  }

  /** Opens two connections, lets an attempt on one time out, and returns the idle one. */
  private UpstreamConnection idleAfterTimeoutOfAnother(Upstream upstream) {
    RecordingWaiter first = acquire(upstream);
    RecordingWaiter second = acquire(upstream);
    opened.forEach(connection -> connection.connected(now));
    first.connection.responseReceived(now, true);
    second.connection.responseReceived(now, true);
    now += 1_000 * MS;
    RecordingWaiter used = acquire(upstream);
    assertSame(second.connection, used.connection);
    now += 1_000 * MS;
    used.connection.timedOut(now);
    used.connection.closed(now);
    return first.connection;
  }

  @Test
  void aResponseEndsTheSuspicionOfAnUpstream() {
    Upstream upstream = table.createUpstream("a", false);
    UpstreamConnection idle = idleAfterTimeoutOfAnother(upstream);
    RecordingWaiter next = acquire(upstream);
    assertNull(next.connection, "the idle connection may be dead");
    UpstreamConnection fresh = opened.get(2);
    fresh.connected(now);
    assertSame(fresh, next.connection);
    RecordingWaiter meanwhile = acquire(upstream);
    assertNull(meanwhile.connection);
    fresh.responseReceived(now, true);
    assertSame(fresh, meanwhile.connection);
    assertSame(idle, acquire(upstream).connection);
  }

  @Test
  void idleConnectionsOfAnUnreachableUpstreamAreClosed() {
    Upstream upstream = table.createUpstream("a", false);
    UpstreamConnection idle = idleAfterTimeoutOfAnother(upstream);
    RecordingWaiter next = acquire(upstream);
    opened.get(2).connectFailed(now, ConnectFailure.UNRESPONSIVE);
    assertEquals(false, next.localCause);
    assertEquals(List.of(idle), closed);
    assertEquals(0, upstream.connectionCount());
  }

  @Test
  void aTimeoutWithALaterResponseRaisesNoSuspicion() {
    Upstream upstream = table.createUpstream("a", false);
    openAndRespond(upstream);
    RecordingWaiter slow = acquire(upstream);
    RecordingWaiter quick = acquire(upstream);
    opened.get(1).connected(now);
    now += 500 * MS;
    quick.connection.responseReceived(now, true);
    slow.connection.timedOut(now);
    slow.connection.closed(now);
    assertSame(quick.connection, acquire(upstream).connection);
  }

  @Test
  void idleConnectionsAreClosedAheadOfTheServersKeepAlive() {
    Upstream upstream = table.createUpstream("a", false);
    UpstreamConnection connection = openAndRespond(upstream);
    now += KEEP_ALIVE_NANOS - 1_600 * MS;
    table.closeExpired(now);
    assertTrue(closed.isEmpty());
    now += 200 * MS;
    table.closeExpired(now);
    assertEquals(List.of(connection), closed);
  }

  @Test
  void atTheLimitTheLongestIdleConnectionOfAnotherUpstreamIsClosed() {
    applyLimits(3, 2);
    Upstream a = table.createUpstream("a", false);
    Upstream b = table.createUpstream("b", false);
    UpstreamConnection oldest = openAndRespond(a);
    now += MS;
    acquire(a);
    RecordingWaiter busy = acquire(a);
    opened.get(1).connected(now);
    RecordingWaiter more = acquire(a);
    assertNull(more.connection);
    assertEquals(2, opened.size(), "two connections are the limit for one upstream");
    oldest.responseReceived(now, true);
    assertSame(oldest, more.connection);
    oldest.responseReceived(now, true);
    now += MS;
    acquire(b);
    RecordingWaiter second = acquire(b);
    assertEquals(4, opened.size());
    assertEquals(List.of(oldest), closed);
    RecordingWaiter third = acquire(table.createUpstream("c", false));
    assertEquals(true, third.localCause, "the cause is the node's own limit, not the server");
    assertNull(second.localCause);
    assertNotNull(busy.connection);
  }

  @Test
  void aRetiredUpstreamKeepsNoConnection() {
    Upstream old = table.createUpstream("a", false);
    UpstreamConnection idle = openAndRespond(old);
    RecordingWaiter busy = acquire(old);
    RecordingWaiter waiting = acquire(old);
    assertSame(idle, busy.connection);
    old.retire();
    assertEquals(true, waiting.localCause, "a retired server has not failed");
    busy.connection.responseReceived(now, true);
    assertEquals(List.of(idle), closed);
    opened.get(1).connected(now);
    assertEquals(2, closed.size());
    assertEquals(0, metrics.upstreamsOpen.get());
    assertEquals(true, acquire(old).localCause);
  }

  @Test
  void exhaustedDescriptorsAreNotAConnectFailure() {
    Upstream upstream = table.createUpstream("a", false);
    RecordingWaiter waiter = acquire(upstream);
    opened.get(0).connectFailed(now, ConnectFailure.NO_DESCRIPTOR);
    assertEquals(true, waiter.localCause);
    now += 21 * MS;
    acquire(upstream);
    acquire(upstream);
    assertEquals(3, opened.size(), "two concurrent connects: no failure was counted");
  }

  @Test
  void aCancelledWaiterGetsNoConnection() {
    Upstream upstream = table.createUpstream("a", false);
    RecordingWaiter waiter = acquire(upstream);
    assertTrue(upstream.cancel(waiter));
    assertFalse(upstream.cancel(waiter));
    opened.get(0).connected(now);
    assertNull(waiter.connection);
    assertSame(opened.get(0), acquire(upstream).connection);
  }
}

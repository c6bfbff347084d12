package edgegateway.node.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Random attempts, faults, restarts and limits on a fake clock: invariants that always hold. */
class UpstreamConnectionTableScenarioTest {
  private static final long MS = 1_000_000L;

  /** Whatever happens: each attempt is told once, bounds hold, and no connection is left. */
  @Test
  void everyWaiterIsToldOnceAndBoundsHoldWhateverHappens() {
    for (long seed = 1; seed <= 200; seed++) {
      try {
        new Scenario(new SplittableRandom(seed)).run();
      } catch (AssertionError | RuntimeException e) {
        throw new AssertionError("seed " + seed, e);
      }
    }
  }

  private record Event(long at, Runnable action) {}

  private static final class Scenario implements UpstreamTransport {
    private final SplittableRandom random;
    private final ConnectionMetrics metrics = new ConnectionMetrics();
    private final UpstreamConnectionTable table =
        new UpstreamConnectionTable(this, metrics, 5, 15_000 * MS);
    private final PriorityQueue<Event> events =
        new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private final List<Upstream> upstreams = new ArrayList<>();
    private final List<RecordingWaiter> waiters = new ArrayList<>();

    /** Connections that each archive server takes. */
    private final Map<Upstream, Integer> capacity = new HashMap<>();

    private final int maxOpen;
    private final int maxOpenPerUpstream;
    private long now = 7_000_000 * MS;

    /** Connects that began, and rechecks that were asked for, since the last step. */
    private final List<UpstreamConnection> connecting = new ArrayList<>();

    private final List<Upstream> rechecks = new ArrayList<>();

    Scenario(SplittableRandom random) {
      this.random = random;
      maxOpen = random.nextInt(4, 30);
      maxOpenPerUpstream = random.nextInt(1, 8);
      table.applyBudget(
          new DescriptorBudget(1, 1, maxOpen, maxOpenPerUpstream, 1, 1, 1, List.of()));
      for (int i = 0; i < 6; i++) {
        upstreams.add(createUpstream(random.nextBoolean()));
      }
    }

    private Upstream createUpstream(boolean slowStart) {
      Upstream added = table.createUpstream("server", slowStart);
      capacity.put(added, random.nextInt(0, 6));
      return added;
    }

    @Override
    public void connect(UpstreamConnection connection) {
      connection.attachTransport(() -> {});
      connecting.add(connection);
    }

    @Override
    public void scheduleRecheck(Upstream upstream, long delayNanos) {
      rechecks.add(upstream);
    }

    void run() {
      for (int i = 0; i < 2_000; i++) {
        step();
      }
      upstreams.forEach(Upstream::retire);
      while (!events.isEmpty()) {
        now = Math.max(now, events.peek().at);
        events.poll().action.run();
        connecting.forEach(one -> one.connectFailed(now, ConnectFailure.REFUSED));
        connecting.clear();
      }
      for (RecordingWaiter waiter : waiters) {
        assertFalse(waiter.isWaiting(), "never told");
      }
      assertEquals(0, metrics.upstreamsOpen.get());
    }

    private void step() {
      now += random.nextLong(20 * MS);
      while (!events.isEmpty() && events.peek().at <= now) {
        events.poll().action.run();
      }
      if (random.nextInt(300) == 0) {
        restartOne();
      }
      if (random.nextInt(100) == 0) {
        table.closeExpired(now);
      }
      beginAttempt();
      connecting.forEach(this::scheduleConnectResult);
      connecting.clear();
      for (Upstream upstream : rechecks) {
        events.add(new Event(now + 5 * MS, () -> upstream.connectIfNeeded(now)));
      }
      rechecks.clear();
      assertTrue(metrics.upstreamsOpen.get() <= maxOpen, metrics.upstreamsOpen + " of " + maxOpen);
      for (Upstream upstream : upstreams) {
        int open = upstream.connectionCount();
        assertTrue(open <= maxOpenPerUpstream, open + " of " + maxOpenPerUpstream);
      }
    }

    private void restartOne() {
      int index = random.nextInt(upstreams.size());
      upstreams.get(index).retire();
      upstreams.set(index, createUpstream(true));
    }

    private void beginAttempt() {
      RecordingWaiter waiter =
          new RecordingWaiter() {
            @Override
            public void connectionReady(UpstreamConnection ready) {
              super.connectionReady(ready);
              scheduleEnd(ready);
            }
          };
      waiters.add(waiter);
      Upstream upstream = upstreams.get(random.nextInt(upstreams.size()));
      upstream.acquire(now, waiter);
      events.add(new Event(now + 500 * MS, () -> giveUp(waiter, upstream)));
    }

    private void giveUp(RecordingWaiter waiter, Upstream upstream) {
      if (waiter.isWaiting()) {
        assertTrue(upstream.cancel(waiter), "lost");
        waiter.localCause = true;
      }
    }

    private void scheduleEnd(UpstreamConnection inUse) {
      long end = now + random.nextLong(200 * MS);
      int how = random.nextInt(20);
      events.add(
          new Event(
              end,
              () -> {
                if (how == 0) {
                  inUse.timedOut(now);
                  inUse.closed(now);
                } else if (how == 1) {
                  inUse.closed(now);
                } else {
                  inUse.responseReceived(now, how > 3);
                }
              }));
    }

    private void scheduleConnectResult(UpstreamConnection connection) {
      Upstream upstream = connection.upstream();
      long at = now + random.nextLong(30 * MS);
      boolean accepted =
          upstream.connectionCount() <= capacity.get(upstream) && random.nextInt(10) > 0;
      ConnectFailure failure = ConnectFailure.values()[random.nextInt(3)];
      events.add(
          new Event(
              at,
              () -> {
                if (accepted) {
                  connection.connected(now);
                } else {
                  connection.connectFailed(now, failure);
                }
              }));
    }
  }
}

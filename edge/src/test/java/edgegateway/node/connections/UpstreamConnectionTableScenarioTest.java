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

/** Invariants under random attempts, faults, restarts and limits, on a fake clock. */
class UpstreamConnectionTableScenarioTest {
  private static final long MS = 1_000_000L;

  /**
   * Each waiter gets exactly one result, limits hold, and all connections are closed at the end.
   */
  @Test
  void everyWaiterGetsOneResultAndLimitsHoldForManySeeds() {
    for (long seed = 1; seed <= 200; seed++) {
      try {
        new RandomRun(new SplittableRandom(seed)).run();
      } catch (AssertionError | RuntimeException e) {
        throw new AssertionError("seed " + seed, e);
      }
    }
  }

  private record Event(long atNanos, Runnable action) {}

  private static final class RandomRun implements UpstreamTransport {
    private final SplittableRandom random;
    private final ConnectionMetrics metrics = new ConnectionMetrics();
    private final UpstreamConnectionTable table =
        new UpstreamConnectionTable(this, metrics, 5, 15_000 * MS);
    private final PriorityQueue<Event> events =
        new PriorityQueue<>((a, b) -> Long.compare(a.atNanos, b.atNanos));
    private final List<Upstream> upstreams = new ArrayList<>();
    private final List<RecordingWaiter> waiters = new ArrayList<>();

    /** Number of connections that each archive server accepts. */
    private final Map<Upstream, Integer> capacity = new HashMap<>();

    private final int maxOpen;
    private final int maxOpenPerUpstream;
    private long nowNanos = 7_000_000 * MS;

    /** Connects started since the last step. */
    private final List<UpstreamConnection> connecting = new ArrayList<>();

    /** Upstreams with a recheck scheduled since the last step. */
    private final List<Upstream> rechecks = new ArrayList<>();

    RandomRun(SplittableRandom random) {
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
        nowNanos = Math.max(nowNanos, events.peek().atNanos);
        events.poll().action.run();
        connecting.forEach(
            connection -> connection.connectFailed(nowNanos, ConnectFailure.REFUSED));
        connecting.clear();
      }
      for (RecordingWaiter waiter : waiters) {
        assertFalse(waiter.isWaiting(), "a waiter got no result");
      }
      assertEquals(0, metrics.upstreamsOpen.get());
    }

    private void step() {
      nowNanos += random.nextLong(20 * MS);
      while (!events.isEmpty() && events.peek().atNanos <= nowNanos) {
        events.poll().action.run();
      }
      if (random.nextInt(300) == 0) {
        restartRandomUpstream();
      }
      if (random.nextInt(100) == 0) {
        table.closeExpired(nowNanos);
      }
      beginAttempt();
      connecting.forEach(this::scheduleConnectResult);
      connecting.clear();
      for (Upstream upstream : rechecks) {
        events.add(new Event(nowNanos + 5 * MS, () -> upstream.connectIfNeeded(nowNanos)));
      }
      rechecks.clear();
      assertTrue(metrics.upstreamsOpen.get() <= maxOpen, metrics.upstreamsOpen + " of " + maxOpen);
      for (Upstream upstream : upstreams) {
        int open = upstream.connectionCount();
        assertTrue(open <= maxOpenPerUpstream, open + " of " + maxOpenPerUpstream);
      }
    }

    private void restartRandomUpstream() {
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
      upstream.acquire(nowNanos, waiter);
      events.add(new Event(nowNanos + 500 * MS, () -> cancelIfWaiting(waiter, upstream)));
    }

    private void cancelIfWaiting(RecordingWaiter waiter, Upstream upstream) {
      if (waiter.isWaiting()) {
        assertTrue(upstream.cancel(waiter), "a waiter without a result is not in the queue");
        waiter.localCause = true;
      }
    }

    private void scheduleEnd(UpstreamConnection inUse) {
      long endNanos = nowNanos + random.nextLong(200 * MS);
      int outcome = random.nextInt(20);
      events.add(
          new Event(
              endNanos,
              () -> {
                if (outcome == 0) {
                  inUse.timedOut(nowNanos);
                  inUse.closed(nowNanos);
                } else if (outcome == 1) {
                  inUse.closed(nowNanos);
                } else {
                  inUse.responseReceived(nowNanos, outcome > 3);
                }
              }));
    }

    private void scheduleConnectResult(UpstreamConnection connection) {
      Upstream upstream = connection.upstream();
      long atNanos = nowNanos + random.nextLong(30 * MS);
      boolean accepted =
          upstream.connectionCount() <= capacity.get(upstream) && random.nextInt(10) > 0;
      ConnectFailure failure = ConnectFailure.values()[random.nextInt(3)];
      events.add(
          new Event(
              atNanos,
              () -> {
                if (accepted) {
                  connection.connected(nowNanos);
                } else {
                  connection.connectFailed(nowNanos, failure);
                }
              }));
    }
  }
}

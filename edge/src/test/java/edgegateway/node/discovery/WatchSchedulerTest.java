package edgegateway.node.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests when watches are opened and which events are accepted, on a fake clock. */
class WatchSchedulerTest implements WatchTransport {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long MAX_LIST_AGE_NANOS = 6_000 * NANOS_PER_MILLI;
  private final List<WatchScheduler.Watch> openWatches = new ArrayList<>();
  private int openedCount;
  private long nowNanos;

  @Override
  public void open(WatchScheduler.Watch watch) {
    openWatches.add(watch);
    openedCount++;
    assertTrue(openWatches.size() <= WatchScheduler.MAX_OPEN_WATCHES, "too many open watches");
  }

  @Override
  public void close(WatchScheduler.Watch watch) {
    assertTrue(openWatches.remove(watch));
  }

  private WatchScheduler startScheduler(long seed) {
    openWatches.clear();
    openedCount = 0;
    nowNanos = 0;
    WatchScheduler scheduler = new WatchScheduler(this, seed);
    scheduler.start(0, 5);
    return scheduler;
  }

  private WatchScheduler.Watch lastOpened() {
    return openWatches.get(openWatches.size() - 1);
  }

  /** Reports to the scheduler that the connection of the watch was closed. */
  private void endWatch(WatchScheduler scheduler, WatchScheduler.Watch watch) {
    openWatches.remove(watch);
    scheduler.watchClosed(nowNanos, watch);
  }

  private void advance(WatchScheduler scheduler, long durationNanos) {
    for (long endNanos = nowNanos + durationNanos; nowNanos < endNanos; ) {
      nowNanos += Math.min(WatchScheduler.CHECK_INTERVAL_NANOS, endNanos - nowNanos);
      scheduler.openWatchIfDue(nowNanos);
    }
  }

  /** How a watch fails while discovery is unreachable. */
  private enum Fault {
    HANGS,
    REFUSES,
    ENDS_LATE,
    RESPONDS_ONCE
  }

  /**
   * Once reachable, discovery responds to new watches at once, but watches opened earlier may hang
   * for ever and must not delay the next one.
   */
  @Test
  void aWatchIsOpenedWithinTheIdleTimeoutOnceDiscoveryIsReachable() {
    long worstNanos = 0;
    for (long seed = 1; seed <= 400; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      WatchScheduler scheduler = startScheduler(seed);
      long reachableAtNanos = (1 + random.nextInt(200)) * 100 * NANOS_PER_MILLI;
      failUntil(reachableAtNanos, scheduler, random);
      int countBefore = openedCount;
      while (openedCount == countBefore) {
        advance(scheduler, 10 * NANOS_PER_MILLI);
        assertTrue(
            nowNanos - reachableAtNanos < MAX_LIST_AGE_NANOS,
            "seed " + seed + ": no watch was opened");
      }
      worstNanos = Math.max(worstNanos, nowNanos - reachableAtNanos);
    }
    assertTrue(
        worstNanos <= WatchScheduler.WATCH_IDLE_TIMEOUT_NANOS + WatchScheduler.CHECK_INTERVAL_NANOS,
        "a watch was opened only after " + worstNanos / NANOS_PER_MILLI + " ms");
    assertTrue(
        WatchScheduler.WATCH_IDLE_TIMEOUT_NANOS
                + WatchScheduler.WATCH_RESPONSE_TIMEOUT_NANOS
                + WatchScheduler.CHECK_INTERVAL_NANOS
                + 1_500 * NANOS_PER_MILLI
            < MAX_LIST_AGE_NANOS,
        "the timeouts leave no time for an event-loop stall");
  }

  private void failUntil(long reachableAtNanos, WatchScheduler scheduler, SplittableRandom random) {
    int handledCount = 0;
    while (nowNanos < reachableAtNanos) {
      if (openedCount > handledCount) {
        handledCount = openedCount;
        WatchScheduler.Watch watch = lastOpened();
        Fault fault = Fault.values()[random.nextInt(4)];
        if (fault == Fault.REFUSES) {
          endWatch(scheduler, watch);
        } else if (fault == Fault.RESPONDS_ONCE) {
          scheduler.eventReceived(nowNanos, watch);
        }
      }
      if (!openWatches.isEmpty() && random.nextInt(20) == 0) {
        endWatch(scheduler, openWatches.get(random.nextInt(openWatches.size())));
      }
      advance(scheduler, 50 * NANOS_PER_MILLI);
    }
  }

  /**
   * Guards against waiting for a watch that hangs: an earlier version waited for 5 s, and up to 2 s
   * more before it opened the next watch.
   */
  @Test
  void anotherWatchIsOpenedBesideOneWithoutAResponse() {
    for (long seed = 1; seed <= 100; seed++) {
      WatchScheduler scheduler = startScheduler(seed);
      for (int watchCount = 1; watchCount < 20; watchCount++) {
        assertTrue(openedCount >= watchCount, "seed " + seed);
        advance(
            scheduler,
            WatchScheduler.WATCH_RESPONSE_TIMEOUT_NANOS + WatchScheduler.CHECK_INTERVAL_NANOS);
      }
      // The first watch to respond is kept, even if it is the oldest.
      WatchScheduler.Watch oldest = openWatches.get(0);
      assertTrue(scheduler.eventReceived(nowNanos, oldest));
      assertEquals(List.of(oldest), openWatches);
    }
  }

  @Test
  void aWatchWhoseResponseIsSlowIsNotGivenUp() {
    for (long seed = 0; seed < 20; seed++) {
      WatchScheduler scheduler = startScheduler(seed);
      WatchScheduler.Watch first = lastOpened();
      advance(scheduler, WatchScheduler.WATCH_SILENCE_TIMEOUT_NANOS - 1);
      assertTrue(scheduler.listReceived(nowNanos, first, 6, true), "seed " + seed);
      assertEquals(List.of(first), openWatches);
    }
  }

  @Test
  void aWatchWhoseListArrivesInPiecesIsNotGivenUp() {
    WatchScheduler scheduler = startScheduler(1);
    WatchScheduler.Watch first = lastOpened();
    for (int i = 0; i < 10; i++) {
      advance(scheduler, WatchScheduler.WATCH_SILENCE_TIMEOUT_NANOS / 2);
      scheduler.bytesReceived(nowNanos, first);
    }
    assertTrue(first.isOpen());
  }

  @Test
  void aSlowResponseBesideAWatchThatHangsIsNotGivenUp() {
    WatchScheduler scheduler = startScheduler(1);
    advance(
        scheduler,
        WatchScheduler.WATCH_RESPONSE_TIMEOUT_NANOS + WatchScheduler.CHECK_INTERVAL_NANOS);
    WatchScheduler.Watch second = lastOpened();
    advance(scheduler, 4 * WatchScheduler.WATCH_RESPONSE_TIMEOUT_NANOS);
    assertTrue(second.isOpen());
    // A newer one of which bytes have come is kept, too.
    WatchScheduler.Watch newest = lastOpened();
    scheduler.bytesReceived(nowNanos, newest);
    advance(scheduler, WatchScheduler.WATCH_RESPONSE_TIMEOUT_NANOS);
    assertTrue(newest.isOpen());
  }

  @Test
  void aWatchThatStoppedGivesWay() {
    WatchScheduler scheduler = startScheduler(1);
    WatchScheduler.Watch first = lastOpened();
    advance(
        scheduler,
        WatchScheduler.WATCH_SILENCE_TIMEOUT_NANOS + WatchScheduler.WATCH_RESPONSE_TIMEOUT_NANOS);
    assertFalse(first.isOpen());
  }

  @Test
  void anIdleWatchIsReplacedAndEventsAcceptedUntilTheNewWatchResponds() {
    WatchScheduler scheduler = startScheduler(3);
    WatchScheduler.Watch old = lastOpened();
    assertTrue(scheduler.eventReceived(nowNanos, old));
    advance(scheduler, WatchScheduler.WATCH_IDLE_TIMEOUT_NANOS - 1);
    assertEquals(1, openedCount);
    advance(scheduler, WatchScheduler.CHECK_INTERVAL_NANOS + 1);
    assertEquals(2, openedCount);
    WatchScheduler.Watch next = lastOpened();
    // The old watch was only slow: its event is accepted, and the new watch is closed.
    assertTrue(scheduler.listReceived(nowNanos, old, 6, false));
    assertEquals(List.of(old), openWatches);
    assertFalse(scheduler.eventReceived(nowNanos, next), "an event of a closed watch was accepted");
    advance(
        scheduler, WatchScheduler.WATCH_IDLE_TIMEOUT_NANOS + WatchScheduler.CHECK_INTERVAL_NANOS);
    next = lastOpened();
    assertTrue(scheduler.listReceived(nowNanos, next, 7, false));
    assertFalse(
        scheduler.listReceived(nowNanos, old, 6, false),
        "a late event of the closed watch would restore an older list");
    assertEquals(7, scheduler.revision());
  }

  /** With and without an event of the old address before the first event of the new address. */
  @Test
  void afterAnAddressChangeEventsOfTheOldAddressAreAcceptedUntilTheNewResponds() {
    for (boolean oldAddressFirst : new boolean[] {true, false}) {
      WatchScheduler scheduler = startScheduler(4);
      WatchScheduler.Watch old = lastOpened();
      assertTrue(scheduler.listReceived(nowNanos, old, 6, true));
      scheduler.addressChanged(nowNanos);
      assertEquals(2, openedCount, "no watch was opened at the new address at once");
      WatchScheduler.Watch next = lastOpened();
      if (oldAddressFirst) {
        assertTrue(scheduler.listReceived(nowNanos, old, 7, false));
        assertTrue(
            openWatches.contains(next),
            "an event of the old address closed the watch at the new one");
        assertFalse(scheduler.hasResponsiveWatch(nowNanos));
      }
      assertTrue(scheduler.listReceived(nowNanos, next, 8, true));
      assertFalse(scheduler.listReceived(nowNanos, old, 9, false));
      assertEquals(List.of(next), openWatches);
      assertEquals(8, scheduler.revision());
    }
  }

  @Test
  void aStaleListIsNotAppliedAndClosesANewWatch() {
    WatchScheduler scheduler = startScheduler(5);
    WatchScheduler.Watch stale = lastOpened();
    assertFalse(scheduler.listReceived(nowNanos, stale, 4, true));
    assertFalse(stale.isOpen());
    advance(scheduler, 200 * NANOS_PER_MILLI);
    assertEquals(2, openedCount);
    assertTrue(
        scheduler.listReceived(nowNanos, lastOpened(), 5, true),
        "a list of the current revision was rejected");
    assertFalse(
        scheduler.listReceived(nowNanos, lastOpened(), 4, false),
        "a stale list was applied in a watch that had responded");
    assertTrue(lastOpened().isOpen());
    assertEquals(5, scheduler.revision());
    // A long time with nothing but keep-alives does not make an older list acceptable.
    for (int i = 0; i < 100; i++) {
      advance(scheduler, 1_000 * NANOS_PER_MILLI);
      scheduler.eventReceived(nowNanos, lastOpened());
    }
    endWatch(scheduler, lastOpened());
    advance(scheduler, 200 * NANOS_PER_MILLI);
    assertFalse(scheduler.listReceived(nowNanos, lastOpened(), 4, true));
  }

  /** Otherwise no list of a discovery that lost its revision number would ever be accepted. */
  @Test
  void restartedRevisionsAreAcceptedAfterTheStaleListTimeout() {
    WatchScheduler scheduler = startScheduler(6);
    long sinceNanos = nowNanos;
    while (!scheduler.listReceived(nowNanos, lastOpened(), 1, true)) {
      int countBefore = openedCount;
      while (openedCount == countBefore) {
        advance(scheduler, 10 * NANOS_PER_MILLI);
      }
    }
    assertEquals(1, scheduler.revision());
    assertTrue(
        nowNanos - sinceNanos >= WatchScheduler.STALE_LIST_TIMEOUT_NANOS
            && nowNanos - sinceNanos
                < WatchScheduler.STALE_LIST_TIMEOUT_NANOS + 2_000 * NANOS_PER_MILLI);
  }

  @Test
  void aKeepAliveResetsTheBackoffAndBackoffsDifferBetweenNodes() {
    List<Long> backoffsNanos = new ArrayList<>();
    for (long seed = 1; seed <= 20; seed++) {
      WatchScheduler scheduler = startScheduler(seed);
      for (int i = 0; i < 10; i++) {
        int countBefore = openedCount;
        endWatch(scheduler, lastOpened());
        while (openedCount == countBefore) {
          advance(scheduler, NANOS_PER_MILLI);
        }
      }
      scheduler.eventReceived(nowNanos, lastOpened());
      long sinceNanos = nowNanos;
      endWatch(scheduler, lastOpened());
      while (openWatches.isEmpty()) {
        advance(scheduler, NANOS_PER_MILLI);
      }
      assertTrue(
          nowNanos - sinceNanos <= WatchScheduler.INITIAL_BACKOFF_NANOS,
          "waited "
              + (nowNanos - sinceNanos) / NANOS_PER_MILLI
              + " ms after a watch that had responded");
      backoffsNanos.add(nowNanos - sinceNanos);
    }
    assertTrue(
        backoffsNanos.stream().distinct().count() > 10,
        "too few distinct backoffs, in ns: " + backoffsNanos);
  }
}

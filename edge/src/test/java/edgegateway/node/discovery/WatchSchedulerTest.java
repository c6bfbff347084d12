package edgegateway.node.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** When discovery is polled, on a fake clock. */
class WatchSchedulerTest implements WatchTransport {
  private static final long MS = 1_000_000L;
  private static final long MAX_LIST_AGE = 6_000 * MS;
  private final List<WatchScheduler.Watch> open = new ArrayList<>();
  private int opened;
  private long now;

  @Override
  public void open(WatchScheduler.Watch watch) {
    open.add(watch);
    opened++;
    assertTrue(open.size() <= WatchScheduler.MAX_OPEN_WATCHES, "descriptors are bounded");
  }

  @Override
  public void close(WatchScheduler.Watch watch) {
    assertTrue(open.remove(watch));
  }

  private WatchScheduler started(long seed) {
    open.clear();
    opened = 0;
    now = 0;
    WatchScheduler scheduler = new WatchScheduler(this, seed);
    scheduler.start(0, 5);
    return scheduler;
  }

  private WatchScheduler.Watch last() {
    return open.get(open.size() - 1);
  }

  private void end(WatchScheduler scheduler, WatchScheduler.Watch watch) {
    open.remove(watch);
    scheduler.watchClosed(now, watch);
  }

  private void pass(WatchScheduler scheduler, long span) {
    for (long until = now + span; now < until; ) {
      now += Math.min(WatchScheduler.CHECK_INTERVAL_NANOS, until - now);
      scheduler.openWatchIfDue(now);
    }
  }

  /** What discovery that can't be reached does with a watch. */
  private enum Fault {
    HANGS,
    REFUSES,
    ENDS_LATE,
    RESPONDS_ONCE
  }

  /** Once reachable, discovery responds at once, but scheduler opened before may hang for ever. */
  @Test
  void discoveryIsPolledSoonAfterItIsReachableAgainWhateverFailedBefore() {
    long worstNanos = 0;
    for (long seed = 1; seed <= 400; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      WatchScheduler scheduler = started(seed);
      long reachableAt = (1 + random.nextInt(200)) * 100 * MS;
      failUntil(reachableAt, scheduler, random);
      int before = opened;
      while (opened == before) {
        pass(scheduler, 10 * MS);
        assertTrue(now - reachableAt < MAX_LIST_AGE, "seed " + seed + ": nobody was asked");
      }
      worstNanos = Math.max(worstNanos, now - reachableAt);
    }
    assertTrue(
        worstNanos <= WatchScheduler.WATCH_IDLE_TIMEOUT_NANOS + WatchScheduler.CHECK_INTERVAL_NANOS,
        "polled after " + worstNanos / MS + " ms");
    assertTrue(
        WatchScheduler.WATCH_IDLE_TIMEOUT_NANOS
                + WatchScheduler.WATCH_RESPONSE_TIMEOUT_NANOS
                + WatchScheduler.CHECK_INTERVAL_NANOS
                + 1_500 * MS
            < MAX_LIST_AGE,
        "no room for an event-loop stall");
  }

  private void failUntil(long reachableAt, WatchScheduler scheduler, SplittableRandom random) {
    int seen = 0;
    while (now < reachableAt) {
      if (opened > seen) {
        seen = opened;
        WatchScheduler.Watch watch = last();
        Fault fault = Fault.values()[random.nextInt(4)];
        if (fault == Fault.REFUSES) {
          end(scheduler, watch);
        } else if (fault == Fault.RESPONDS_ONCE) {
          scheduler.eventReceived(now, watch);
        }
      }
      if (!open.isEmpty() && random.nextInt(20) == 0) {
        end(scheduler, open.get(random.nextInt(open.size())));
      }
      pass(scheduler, 50 * MS);
    }
  }

  /**
   * A watch that hung was once waited for to the end of its 5 s, with up to 2 s more before the
   * next.
   */
  @Test
  void aWatchWithoutAResponseIsNotWaitedFor() {
    for (long seed = 1; seed <= 100; seed++) {
      WatchScheduler scheduler = started(seed);
      for (int call = 1; call < 20; call++) {
        assertTrue(opened >= call, "seed " + seed);
        pass(
            scheduler,
            WatchScheduler.WATCH_RESPONSE_TIMEOUT_NANOS + WatchScheduler.CHECK_INTERVAL_NANOS);
      }
      // Whichever speaks first is followed, were it the first of them.
      WatchScheduler.Watch first = open.get(0);
      assertTrue(scheduler.eventReceived(now, first));
      assertEquals(List.of(first), open);
    }
  }

  @Test
  void aSilentWatchIsReplacedAndItsEventsAcceptedUntilThen() {
    WatchScheduler scheduler = started(3);
    WatchScheduler.Watch old = last();
    assertTrue(scheduler.eventReceived(now, old));
    pass(scheduler, WatchScheduler.WATCH_IDLE_TIMEOUT_NANOS - 1);
    assertEquals(1, opened);
    pass(scheduler, WatchScheduler.CHECK_INTERVAL_NANOS + 1);
    assertEquals(2, opened);
    WatchScheduler.Watch next = last();
    // The old one was only slow: then it is as good as any.
    assertTrue(scheduler.listReceived(now, old, 6, false));
    assertEquals(List.of(old), open);
    assertFalse(scheduler.eventReceived(now, next), "what was closed says nothing any more");
    pass(scheduler, WatchScheduler.WATCH_IDLE_TIMEOUT_NANOS + WatchScheduler.CHECK_INTERVAL_NANOS);
    next = last();
    assertTrue(scheduler.listReceived(now, next, 7, false));
    assertFalse(
        scheduler.listReceived(now, old, 6, false),
        "a late line of the old watch would bring back an older list");
    assertEquals(7, scheduler.revision());
  }

  /** Both orders of a late line of the old address and the first one of the new. */
  @Test
  void afterAChangeOfAddressTheOldOneIsAcceptedUntilTheNewOneResponds() {
    for (boolean oldFirst : new boolean[] {true, false}) {
      WatchScheduler scheduler = started(4);
      WatchScheduler.Watch old = last();
      assertTrue(scheduler.listReceived(now, old, 6, true));
      scheduler.addressChanged(now);
      assertEquals(2, opened, "at once");
      WatchScheduler.Watch next = last();
      if (oldFirst) {
        assertTrue(scheduler.listReceived(now, old, 7, false));
        assertTrue(open.contains(next), "the old address is no reason to leave the new one");
        assertFalse(scheduler.hasResponsiveWatch(now));
      }
      assertTrue(scheduler.listReceived(now, next, 8, true));
      assertFalse(scheduler.listReceived(now, old, 9, false));
      assertEquals(List.of(next), open);
      assertEquals(8, scheduler.revision());
    }
  }

  @Test
  void aStaleListIsNotAppliedAndPolledForAgain() {
    WatchScheduler scheduler = started(5);
    WatchScheduler.Watch stale = last();
    assertFalse(scheduler.listReceived(now, stale, 4, true));
    assertFalse(stale.isOpen());
    pass(scheduler, 200 * MS);
    assertEquals(2, opened);
    assertTrue(
        scheduler.listReceived(now, last(), 5, true),
        "the same again tells nothing new, and that the watch is sound");
    assertFalse(scheduler.listReceived(now, last(), 4, false), "nor in the midst of a watch");
    assertTrue(last().isOpen());
    assertEquals(5, scheduler.revision());
    // Quiet for however long: what is older is older.
    for (int i = 0; i < 100; i++) {
      pass(scheduler, 1_000 * MS);
      scheduler.eventReceived(now, last());
    }
    end(scheduler, last());
    pass(scheduler, 200 * MS);
    assertFalse(scheduler.listReceived(now, last(), 4, true));
  }

  /** Else a discovery that lost its revisions would never be heard again. */
  @Test
  void aDiscoveryThatRestartedItsRevisionsIsFollowedInTheEnd() {
    WatchScheduler scheduler = started(6);
    long since = now;
    while (!scheduler.listReceived(now, last(), 1, true)) {
      int before = opened;
      while (opened == before) {
        pass(scheduler, 10 * MS);
      }
    }
    assertEquals(1, scheduler.revision());
    assertTrue(
        now - since >= WatchScheduler.STALE_LIST_TIMEOUT_NANOS
            && now - since < WatchScheduler.STALE_LIST_TIMEOUT_NANOS + 2_000 * MS);
  }

  @Test
  void aKeepAliveResetsTheBackoffAndNodesDoNotPollTogether() {
    List<Long> spans = new ArrayList<>();
    for (long seed = 1; seed <= 20; seed++) {
      WatchScheduler scheduler = started(seed);
      for (int i = 0; i < 10; i++) {
        int before = opened;
        end(scheduler, last());
        while (opened == before) {
          pass(scheduler, MS);
        }
      }
      scheduler.eventReceived(now, last());
      long since = now;
      end(scheduler, last());
      while (open.isEmpty()) {
        pass(scheduler, MS);
      }
      assertTrue(
          now - since <= WatchScheduler.INITIAL_BACKOFF_NANOS,
          "waited " + (now - since) / MS + " ms after a sound watch");
      spans.add(now - since);
    }
    assertTrue(spans.stream().distinct().count() > 10, "all asked after the same span: " + spans);
  }
}

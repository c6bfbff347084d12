package edgegateway.node.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** When discovery is asked, on a clock of the test's own. */
class WatchSchedulerTest implements WatchScheduler.Host {
  private static final long MS = 1_000_000L;
  private static final long TOLD = 6_000 * MS;
  private final List<WatchScheduler.Watch> open = new ArrayList<>();
  private int opened;
  private long now;

  @Override
  public void open(WatchScheduler.Watch watch) {
    open.add(watch);
    opened++;
    assertTrue(open.size() <= WatchScheduler.MOST, "descriptors are bounded");
  }

  @Override
  public void close(WatchScheduler.Watch watch) {
    assertTrue(open.remove(watch));
  }

  private WatchScheduler begun(long seed) {
    open.clear();
    opened = 0;
    now = 0;
    WatchScheduler watches = new WatchScheduler(this, seed);
    watches.start(0, 5);
    return watches;
  }

  private WatchScheduler.Watch last() {
    return open.get(open.size() - 1);
  }

  private void end(WatchScheduler watches, WatchScheduler.Watch watch) {
    open.remove(watch);
    watches.ended(now, watch);
  }

  private void pass(WatchScheduler watches, long span) {
    for (long until = now + span; now < until; ) {
      now += Math.min(WatchScheduler.LOOK, until - now);
      watches.look(now);
    }
  }

  /** What a discovery that can't be reached does with a call. */
  private enum Trouble {
    HANGS,
    REFUSED,
    ENDS_LATE,
    SPEAKS_ONCE
  }

  /** Once reached, a call is answered at once, but what was asked before may hang for ever. */
  @Test
  void whateverFailedBeforeDiscoveryIsHeardWellWithinItsTime() {
    long worst = 0;
    for (long seed = 1; seed <= 400; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      WatchScheduler watches = begun(seed);
      int seen = 0;
      long back = (1 + random.nextInt(200)) * 100 * MS;
      while (now < back) {
        if (opened > seen) {
          seen = opened;
          WatchScheduler.Watch watch = last();
          Trouble trouble = Trouble.values()[random.nextInt(4)];
          if (trouble == Trouble.REFUSED) {
            end(watches, watch);
          } else if (trouble == Trouble.SPEAKS_ONCE) {
            watches.heard(now, watch);
          }
        }
        if (!open.isEmpty() && random.nextInt(20) == 0) {
          end(watches, open.get(random.nextInt(open.size())));
        }
        pass(watches, 50 * MS);
      }
      int before = opened;
      while (opened == before) {
        pass(watches, 10 * MS);
        assertTrue(now - back < TOLD, "seed " + seed + ": nobody was asked");
      }
      worst = Math.max(worst, now - back);
    }
    assertTrue(
        worst <= WatchScheduler.SILENCE + WatchScheduler.LOOK,
        "asked again after " + worst / MS + " ms");
    assertTrue(
        WatchScheduler.SILENCE + WatchScheduler.ANSWER + WatchScheduler.LOOK + 1_500 * MS < TOLD,
        "no room for a loop that stands still");
  }

  /**
   * A call that hung was once waited for to the end of its 5 s, with up to 2 s more before the
   * next.
   */
  @Test
  void aWatchThatHangsIsNotWaitedFor() {
    for (long seed = 1; seed <= 100; seed++) {
      WatchScheduler watches = begun(seed);
      for (int call = 1; call < 20; call++) {
        assertTrue(opened >= call, "seed " + seed);
        pass(watches, WatchScheduler.ANSWER + WatchScheduler.LOOK);
      }
      // Whichever speaks first is followed, were it the first of them.
      WatchScheduler.Watch first = open.get(0);
      assertTrue(watches.heard(now, first));
      assertEquals(List.of(first), open);
    }
  }

  @Test
  void aWatchThatFallsSilentIsReplacedAndHeardUntilThen() {
    WatchScheduler watches = begun(3);
    WatchScheduler.Watch old = last();
    assertTrue(watches.heard(now, old));
    pass(watches, WatchScheduler.SILENCE - 1);
    assertEquals(1, opened);
    pass(watches, WatchScheduler.LOOK + 1);
    assertEquals(2, opened);
    WatchScheduler.Watch next = last();
    // The old one was only slow: then it is as good as any.
    assertTrue(watches.takes(now, old, 6, false));
    assertEquals(List.of(old), open);
    assertFalse(watches.heard(now, next), "what was closed says nothing any more");
    pass(watches, WatchScheduler.SILENCE + WatchScheduler.LOOK);
    next = last();
    assertTrue(watches.takes(now, next, 7, false));
    assertFalse(
        watches.takes(now, old, 6, false),
        "a late line of the old watch would bring back an older list");
    assertEquals(7, watches.revision());
  }

  /** Both orders of a late line of the old address and the first one of the new. */
  @Test
  void afterAMoveTheOldAddressIsHeardUntilTheNewOneSpeaks() {
    for (boolean oldFirst : new boolean[] {true, false}) {
      WatchScheduler watches = begun(4);
      WatchScheduler.Watch old = last();
      assertTrue(watches.takes(now, old, 6, true));
      watches.move(now);
      assertEquals(2, opened, "at once");
      WatchScheduler.Watch next = last();
      if (oldFirst) {
        assertTrue(watches.takes(now, old, 7, false));
        assertTrue(open.contains(next), "the old address is no reason to leave the new one");
        assertFalse(watches.sound(now));
      }
      assertTrue(watches.takes(now, next, 8, true));
      assertFalse(watches.takes(now, old, 9, false));
      assertEquals(List.of(next), open);
      assertEquals(8, watches.revision());
    }
  }

  @Test
  void anOlderListIsNotTakenAndAskedForAgain() {
    WatchScheduler watches = begun(5);
    WatchScheduler.Watch stale = last();
    assertFalse(watches.takes(now, stale, 4, true));
    assertFalse(stale.isOpen());
    pass(watches, 200 * MS);
    assertEquals(2, opened);
    assertTrue(
        watches.takes(now, last(), 5, true),
        "the same again tells nothing new, and that the watch is sound");
    assertFalse(watches.takes(now, last(), 4, false), "nor in the midst of a watch");
    assertTrue(last().isOpen());
    assertEquals(5, watches.revision());
    // Quiet for however long: what is older is older.
    for (int i = 0; i < 100; i++) {
      pass(watches, 1_000 * MS);
      watches.heard(now, last());
    }
    end(watches, last());
    pass(watches, 200 * MS);
    assertFalse(watches.takes(now, last(), 4, true));
  }

  /** Else a discovery that lost its revisions would never be heard again. */
  @Test
  void aDiscoveryThatBeganAnewIsFollowedInTheEnd() {
    WatchScheduler watches = begun(6);
    long since = now;
    while (!watches.takes(now, last(), 1, true)) {
      int before = opened;
      while (opened == before) {
        pass(watches, 10 * MS);
      }
    }
    assertEquals(1, watches.revision());
    assertTrue(
        now - since >= WatchScheduler.OUTDATED
            && now - since < WatchScheduler.OUTDATED + 2_000 * MS);
  }

  @Test
  void anEmptyLineOfASoundWatchEndsTheBackOffAndNodesDoNotAskTogether() {
    List<Long> spans = new ArrayList<>();
    for (long seed = 1; seed <= 20; seed++) {
      WatchScheduler watches = begun(seed);
      for (int i = 0; i < 10; i++) {
        int before = opened;
        end(watches, last());
        while (opened == before) {
          pass(watches, MS);
        }
      }
      watches.heard(now, last());
      long since = now;
      end(watches, last());
      while (open.isEmpty()) {
        pass(watches, MS);
      }
      assertTrue(
          now - since <= WatchScheduler.FIRST_BACKOFF,
          "waited " + (now - since) / MS + " ms after a sound watch");
      spans.add(now - since);
    }
    assertTrue(spans.stream().distinct().count() > 10, "all asked after the same span: " + spans);
  }
}

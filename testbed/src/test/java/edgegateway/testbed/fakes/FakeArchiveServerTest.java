package edgegateway.testbed.fakes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.testbed.fakes.FakeArchiveServer.Ended;
import edgegateway.testbed.fakes.FakeArchiveServer.Ending;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class FakeArchiveServerTest {
  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;
  private static final FakeArchiveServerSettings TERMS =
      new FakeArchiveServerSettings(4, 16, 10, 0.24, 17 * SECOND, 2.5, 1_500 * MS, 6 * SECOND);
  private static final long WARM = -100 * SECOND;

  /** Sends at an even rate for a span; how many ended in which way within it. */
  private static Map<Ending, Integer> load(
      FakeArchiveServer<Integer> server, double perSecond, long span, long work) {
    Map<Ending, Integer> ended = new EnumMap<>(Ending.class);
    long gap = (long) (SECOND / perSecond);
    for (long at = 0; at < span; at += gap) {
      server.arrive(at, (int) (at / gap), null, work);
      for (Ended<Integer> one = server.poll(at); one != null; one = server.poll(at)) {
        ended.merge(one.how(), 1, Integer::sum);
      }
    }
    return ended;
  }

  @Test
  void eachRequestEndsOnceOverManySeeds() {
    for (int seed = 0; seed < 200; seed++) {
      SplittableRandom chance = new SplittableRandom(seed);
      FakeArchiveServer<Integer> server = new FakeArchiveServer<>(TERMS, 0, WARM);
      Set<Integer> out = new HashSet<>();
      long at = 0;
      for (int i = 0; i < 300; i++) {
        at += chance.nextLong(20 * MS);
        server.arrive(
            at,
            i,
            chance.nextInt(3) == 0 ? "k" + chance.nextInt(30) : null,
            1 + chance.nextLong(300 * MS));
        assertTrue(server.inFlight() <= 26, "seed " + seed);
        for (Ended<Integer> one = server.poll(at); one != null; one = server.poll(at)) {
          assertTrue(out.add(one.request()), "seed " + seed);
        }
      }
      while (server.next() != Long.MAX_VALUE) {
        Ended<Integer> one = server.poll(server.next());
        assertTrue(one == null || out.add(one.request()), "seed " + seed);
      }
      assertEquals(300, out.size(), "seed " + seed);
    }
  }

  @Test
  void warmItDoesWhatItsCoresCanAndTurnsTheRestAway() {
    // 4 cores at 200 ms of work: 20 a second.
    Map<Ending, Integer> ended =
        load(new FakeArchiveServer<>(TERMS, 0, WARM), 40, 20 * SECOND, 200 * MS);
    assertEquals(400, ended.get(Ending.SERVED), 10);
    assertEquals(380, ended.get(Ending.TURNED_AWAY), 15);
  }

  @Test
  void itWarmsUpEvenly() {
    FakeArchiveServer<Integer> server = new FakeArchiveServer<>(TERMS, 0, 0);
    assertEquals(0.24, server.warmth(0));
    assertEquals(0.62, server.warmth(8_500 * MS), 1e-9);
    assertEquals(1, server.warmth(17 * SECOND));
    // Over its ramp it does 0.62 of 20 a second; it is sent twice what it can at first, and does
    // not fall.
    Map<Ending, Integer> ended = load(server, 20, 17 * SECOND, 100 * MS);
    assertTrue(server.fellAt() == Long.MAX_VALUE);
    assertEquals(0.24 * 40 + 20 * 16, ended.get(Ending.SERVED), 45);
  }

  @Test
  void coldItFallsOverByTheSumOfWhatReachesItWarmItDoesNot() {
    FakeArchiveServer<Integer> cold = new FakeArchiveServer<>(TERMS, 0, 0);
    // After 1.5 s it has 0.31 of 4 cores, and bears 2.5 times that: 3.1 cores' worth; 18 a second
    // of 200 ms are 3.6.
    load(cold, 18, 2 * SECOND, 200 * MS);
    assertTrue(cold.fellAt() != Long.MAX_VALUE);
    cold.arrive(3 * SECOND, -1, null, MS);
    assertNull(cold.poll(10 * SECOND));
    FakeArchiveServer<Integer> careful = new FakeArchiveServer<>(TERMS, 0, 0);
    load(careful, 11, 2 * SECOND, 200 * MS);
    assertTrue(careful.fellAt() == Long.MAX_VALUE);
    FakeArchiveServer<Integer> warm = new FakeArchiveServer<>(TERMS, 0, WARM);
    load(warm, 200, 5 * SECOND, 200 * MS);
    assertTrue(warm.fellAt() == Long.MAX_VALUE);
  }

  @Test
  void aSlowOneDoesAFifthAndAFailingOneLosesItsShare() {
    FakeArchiveServer<Integer> slow = new FakeArchiveServer<>(TERMS, 0, WARM);
    slow.slow(0, 5);
    assertEquals(80, load(slow, 40, 20 * SECOND, 200 * MS).get(Ending.SERVED), 12);
    FakeArchiveServer<Integer> failing = new FakeArchiveServer<>(TERMS, 0, WARM);
    failing.fail(0, 0.2, new SplittableRandom(1));
    Map<Ending, Integer> ended = load(failing, 10, 100 * SECOND, 200 * MS);
    assertEquals(0.2, ended.get(Ending.FAILED) / 1_000.0, 0.05);
    FakeArchiveServer<Integer> once = new FakeArchiveServer<>(TERMS, 0, WARM);
    once.fail(0, 1, new SplittableRandom(1));
    once.arrive(0, -1, "k", 100 * MS);
    assertEquals(Ending.FAILED, once.poll(SECOND).how());
    once.fail(SECOND, 0, null);
    once.arrive(SECOND, -2, "k", 100 * MS);
    assertEquals(Ending.SERVED, once.poll(2 * SECOND).how(), "a failed one is no repeat");
  }

  @Test
  void aRepeatOfAKeyDoesNotRunAgainWhileItIsKept() {
    FakeArchiveServer<Integer> server = new FakeArchiveServer<>(TERMS, 0, WARM);
    server.arrive(0, 1, "k", 100 * MS);
    server.arrive(50 * MS, 2, "k", 100 * MS);
    assertEquals(new Ended<>(2, Ending.TURNED_AWAY), server.poll(50 * MS));
    assertNull(server.poll(99 * MS));
    assertEquals(new Ended<>(1, Ending.SERVED), server.poll(100 * MS));
    server.arrive(6_099 * MS, 3, "k", 100 * MS);
    assertEquals(new Ended<>(3, Ending.REPEATED), server.poll(6_099 * MS));
    server.arrive(6_101 * MS, 4, "k", 100 * MS);
    assertNull(server.poll(6_101 * MS));
    assertEquals(new Ended<>(4, Ending.SERVED), server.poll(7 * SECOND));
  }

  @Test
  void aDrainFinishesWhatItHasAndTakesNothingNew() {
    FakeArchiveServer<Integer> server = new FakeArchiveServer<>(TERMS, 0, WARM);
    server.arrive(0, 1, null, 100 * MS);
    server.drain();
    server.arrive(1, 2, null, 100 * MS);
    assertEquals(new Ended<>(2, Ending.TURNED_AWAY), server.poll(1));
    assertEquals(new Ended<>(1, Ending.SERVED), server.poll(SECOND));
    assertEquals(Long.MAX_VALUE, server.next());
  }

  @Test
  void termsOutOfRangeAreRefusedByName() {
    assertEquals(
        "coldFrom is out of its range",
        assertThrows(
                IllegalArgumentException.class,
                () -> new FakeArchiveServerSettings(4, 1, 0, 0, 0, 1, 1, 0))
            .getMessage());
    assertEquals(
        "cores is out of its range",
        assertThrows(
                IllegalArgumentException.class,
                () -> new FakeArchiveServerSettings(Double.NaN, 1, 0, 1, 0, 1, 1, 0))
            .getMessage());
  }
}

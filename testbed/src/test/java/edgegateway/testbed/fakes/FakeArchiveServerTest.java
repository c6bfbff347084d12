package edgegateway.testbed.fakes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.testbed.fakes.FakeArchiveServer.Completion;
import edgegateway.testbed.fakes.FakeArchiveServer.Finished;
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
  private static Map<Completion, Integer> load(
      FakeArchiveServer<Integer> server, double perSecond, long span, long work) {
    Map<Completion, Integer> ended = new EnumMap<>(Completion.class);
    long gap = (long) (SECOND / perSecond);
    for (long at = 0; at < span; at += gap) {
      server.receive(at, (int) (at / gap), null, work);
      for (Finished<Integer> one = server.poll(at); one != null; one = server.poll(at)) {
        ended.merge(one.completion(), 1, Integer::sum);
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
        server.receive(
            at,
            i,
            chance.nextInt(3) == 0 ? "k" + chance.nextInt(30) : null,
            1 + chance.nextLong(300 * MS));
        assertTrue(server.inFlight() <= 26, "seed " + seed);
        for (Finished<Integer> one = server.poll(at); one != null; one = server.poll(at)) {
          assertTrue(out.add(one.request()), "seed " + seed);
        }
      }
      while (server.nextEventNanos() != Long.MAX_VALUE) {
        Finished<Integer> one = server.poll(server.nextEventNanos());
        assertTrue(one == null || out.add(one.request()), "seed " + seed);
      }
      assertEquals(300, out.size(), "seed " + seed);
    }
  }

  @Test
  void warmItDoesWhatItsCoresCanAndTurnsTheRestAway() {
    // 4 cores at 200 ms of work: 20 a second.
    Map<Completion, Integer> ended =
        load(new FakeArchiveServer<>(TERMS, 0, WARM), 40, 20 * SECOND, 200 * MS);
    assertEquals(400, ended.get(Completion.SERVED), 10);
    assertEquals(380, ended.get(Completion.REJECTED), 15);
  }

  @Test
  void itWarmsUpEvenly() {
    FakeArchiveServer<Integer> server = new FakeArchiveServer<>(TERMS, 0, 0);
    assertEquals(0.24, server.slowStartFactor(0));
    assertEquals(0.62, server.slowStartFactor(8_500 * MS), 1e-9);
    assertEquals(1, server.slowStartFactor(17 * SECOND));
    // Over its ramp it does 0.62 of 20 a second; it is sent twice what it can at first, and does
    // not fall.
    Map<Completion, Integer> ended = load(server, 20, 17 * SECOND, 100 * MS);
    assertTrue(server.overloadedAtNanos() == Long.MAX_VALUE);
    assertEquals(0.24 * 40 + 20 * 16, ended.get(Completion.SERVED), 45);
  }

  @Test
  void coldItFallsOverByTheSumOfWhatReachesItWarmItDoesNot() {
    FakeArchiveServer<Integer> cold = new FakeArchiveServer<>(TERMS, 0, 0);
    // After 1.5 s it has 0.31 of 4 cores, and bears 2.5 times that: 3.1 cores' worth; 18 a second
    // of 200 ms are 3.6.
    load(cold, 18, 2 * SECOND, 200 * MS);
    assertTrue(cold.overloadedAtNanos() != Long.MAX_VALUE);
    cold.receive(3 * SECOND, -1, null, MS);
    assertNull(cold.poll(10 * SECOND));
    FakeArchiveServer<Integer> careful = new FakeArchiveServer<>(TERMS, 0, 0);
    load(careful, 11, 2 * SECOND, 200 * MS);
    assertTrue(careful.overloadedAtNanos() == Long.MAX_VALUE);
    FakeArchiveServer<Integer> warm = new FakeArchiveServer<>(TERMS, 0, WARM);
    load(warm, 200, 5 * SECOND, 200 * MS);
    assertTrue(warm.overloadedAtNanos() == Long.MAX_VALUE);
  }

  @Test
  void aSlowOneDoesAFifthAndAFailingOneLosesItsShare() {
    FakeArchiveServer<Integer> slow = new FakeArchiveServer<>(TERMS, 0, WARM);
    slow.slow(0, 5);
    assertEquals(80, load(slow, 40, 20 * SECOND, 200 * MS).get(Completion.SERVED), 12);
    FakeArchiveServer<Integer> failing = new FakeArchiveServer<>(TERMS, 0, WARM);
    failing.fail(0, 0.2, new SplittableRandom(1));
    Map<Completion, Integer> ended = load(failing, 10, 100 * SECOND, 200 * MS);
    assertEquals(0.2, ended.get(Completion.FAILED) / 1_000.0, 0.05);
    FakeArchiveServer<Integer> once = new FakeArchiveServer<>(TERMS, 0, WARM);
    once.fail(0, 1, new SplittableRandom(1));
    once.receive(0, -1, "k", 100 * MS);
    assertEquals(Completion.FAILED, once.poll(SECOND).completion());
    once.fail(SECOND, 0, null);
    once.receive(SECOND, -2, "k", 100 * MS);
    assertEquals(
        Completion.SERVED, once.poll(2 * SECOND).completion(), "a failed one is no repeat");
  }

  @Test
  void aRepeatOfAKeyDoesNotRunAgainWhileItIsKept() {
    FakeArchiveServer<Integer> server = new FakeArchiveServer<>(TERMS, 0, WARM);
    server.receive(0, 1, "k", 100 * MS);
    server.receive(50 * MS, 2, "k", 100 * MS);
    assertEquals(new Finished<>(2, Completion.REJECTED), server.poll(50 * MS));
    assertNull(server.poll(99 * MS));
    assertEquals(new Finished<>(1, Completion.SERVED), server.poll(100 * MS));
    server.receive(6_099 * MS, 3, "k", 100 * MS);
    assertEquals(new Finished<>(3, Completion.DEDUPLICATED), server.poll(6_099 * MS));
    server.receive(6_101 * MS, 4, "k", 100 * MS);
    assertNull(server.poll(6_101 * MS));
    assertEquals(new Finished<>(4, Completion.SERVED), server.poll(7 * SECOND));
  }

  @Test
  void aDrainFinishesWhatItHasAndTakesNothingNew() {
    FakeArchiveServer<Integer> server = new FakeArchiveServer<>(TERMS, 0, WARM);
    server.receive(0, 1, null, 100 * MS);
    server.drain();
    server.receive(1, 2, null, 100 * MS);
    assertEquals(new Finished<>(2, Completion.REJECTED), server.poll(1));
    assertEquals(new Finished<>(1, Completion.SERVED), server.poll(SECOND));
    assertEquals(Long.MAX_VALUE, server.nextEventNanos());
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

package edgegateway.testbed.fakes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.testbed.fakes.FakeCounter.Reply;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class FakeCounterTest {
  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;

  private static FakeCounter<Integer> counter(int parts, int line) {
    return new FakeCounter<>(new FakeCounterSettings(parts, MS, line), 0);
  }

  @Test
  void totalsAreExactAndAnswersOfANameComeInOrderOverManySeeds() {
    for (int seed = 0; seed < 200; seed++) {
      SplittableRandom chance = new SplittableRandom(seed);
      FakeCounter<Integer> counter = counter(1 + chance.nextInt(3), 1 + chance.nextInt(20));
      Map<Integer, String> names = new HashMap<>();
      Map<Integer, Double> amounts = new HashMap<>();
      Map<String, Double> totals = new HashMap<>();
      Map<String, Integer> last = new HashMap<>();
      long at = 0;
      int answered = 0;
      for (int i = 0; i < 400 || counter.nextEventNanos() != Long.MAX_VALUE; i++) {
        if (i < 400) {
          at += chance.nextLong(2 * MS);
          names.put(i, "n" + chance.nextInt(5));
          amounts.put(i, chance.nextInt(9) - 2.0);
          counter.call(at, i, names.get(i), amounts.get(i), 50 * SECOND);
        } else {
          at = counter.nextEventNanos();
        }
        for (Reply<Integer> one = counter.poll(at); one != null; one = counter.poll(at)) {
          answered++;
          String name = names.get(one.call());
          if (one.total() != null) {
            assertTrue(last.getOrDefault(name, -1) < one.call(), "seed " + seed);
            last.put(name, one.call());
            assertEquals(
                totals.merge(name, amounts.get(one.call()), Double::sum),
                one.total(),
                "seed " + seed);
          }
        }
      }
      assertEquals(400, answered, "seed " + seed);
    }
  }

  @Test
  void callsAreServedInTurnAndTurnedAwayWhenTheLineIsLong() {
    FakeCounter<Integer> counter = counter(1, 3);
    for (int i = 0; i < 5; i++) {
      counter.call(0, i, "n", 1, SECOND);
    }
    assertEquals(new Reply<>(3, null), counter.poll(0));
    assertEquals(new Reply<>(4, null), counter.poll(0));
    assertNull(counter.poll(MS - 1));
    assertEquals(new Reply<>(0, 1.0), counter.poll(MS));
    counter.slow(MS, 5);
    assertEquals(new Reply<>(1, 2.0), counter.poll(2 * MS));
    assertEquals(7 * MS, counter.nextEventNanos());
    assertEquals(new Reply<>(2, 3.0), counter.poll(7 * MS));
  }

  @Test
  void aNameLivesAsItsFirstCallSaidAndAMinuteAtMost() {
    FakeCounter<Integer> counter = counter(1, 9);
    counter.call(0, 0, "short", 5, 3 * SECOND);
    counter.call(2 * SECOND, 1, "short", 1, 60 * SECOND);
    counter.call(2 * SECOND, 2, "long", 1, 600 * SECOND);
    assertEquals(6, counter.total(3 * SECOND, "short"));
    assertEquals(0, counter.total(3 * SECOND + MS, "short"));
    counter.call(4 * SECOND, 3, "short", 1, SECOND);
    assertEquals(1, counter.total(4 * SECOND + MS, "short"));
    assertEquals(1, counter.total(62 * SECOND, "long"));
    assertEquals(0, counter.total(62 * SECOND + 2 * MS, "long"));
  }

  @Test
  void aFlushForgetsAShareAndALostPartComesBackEmpty() {
    FakeCounter<Integer> counter = counter(1, 2_000);
    for (int i = 0; i < 1_000; i++) {
      counter.call(0, i, "n" + i, 1, 50 * SECOND);
    }
    counter.flush(2 * SECOND, 0.9, new SplittableRandom(1));
    long kept = 0;
    for (int i = 0; i < 1_000; i++) {
      kept += (long) counter.total(2 * SECOND, "n" + i);
    }
    assertEquals(100, kept, 30);
    int answered = 0;
    while (counter.poll(2 * SECOND) != null) {
      answered++;
    }
    assertEquals(1_000, answered);
    counter.call(2 * SECOND, -1, "n", 1, SECOND);
    counter.lose(2 * SECOND, 0);
    counter.call(2 * SECOND, -2, "n", 1, SECOND);
    assertNull(counter.poll(9 * SECOND), "an answer of a part that is gone");
    assertEquals(Long.MAX_VALUE, counter.nextEventNanos());
    counter.restore(9 * SECOND, 0);
    counter.call(9 * SECOND, -3, "n", 1, SECOND);
    assertEquals(new Reply<>(-3, 1.0), counter.poll(10 * SECOND));
  }

  @Test
  void termsOutOfRangeAreRefusedByName() {
    assertEquals(
        "line is below 1",
        assertThrows(IllegalArgumentException.class, () -> new FakeCounterSettings(1, 1, 0))
            .getMessage());
  }
}

package edgegateway.node.zones;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.policy.api.ZoneHealth;
import org.junit.jupiter.api.Test;

class HalfOpenProbesTest {
  private static final long MS = 1_000_000L;

  private int sent;
  private int answered;
  private int failed;
  private long now = ZoneConsensus.VOTE_WINDOW_NANOS;
  private final HalfOpenProbes probes = new HalfOpenProbes(() -> sent++);

  private boolean passed(int requiredAnswers) {
    int attempts = answered + failed;
    return probes.advance(
        now, new ZoneHealth(0, 0, 0, 0, 4, 4, 0, 0, 0, 0.3, attempts, failed, 0), requiredAnswers);
  }

  @Test
  void probesOneAfterTheOtherUntilEnoughAreAnswered() {
    assertFalse(passed(2));
    assertFalse(passed(2));
    assertEquals(1, sent, "the second waits");
    now += 200 * MS;
    answered++;
    assertFalse(passed(2));
    assertEquals(2, sent);
    answered++;
    assertTrue(passed(2));
    now += 200 * MS;
    assertTrue(passed(2));
    assertEquals(2, sent, "enough are answered");
  }

  @Test
  void aFailureBeginsAnewAfterABackoffThatDoubles() {
    for (long backoff : new long[] {500 * MS, 1_000 * MS}) {
      passed(1);
      int before = sent;
      failed++;
      assertFalse(passed(1));
      now += backoff - 1;
      assertFalse(passed(1));
      assertEquals(before, sent, "before the end of " + backoff);
      now++;
      assertFalse(passed(1));
      assertEquals(before + 1, sent, "at the end of " + backoff);
    }
  }

  @Test
  void eachWindowNeedsAnswersOfItsOwn() {
    passed(1);
    answered++;
    assertTrue(passed(1));
    now += ZoneConsensus.VOTE_WINDOW_NANOS;
    assertFalse(passed(1));
    assertEquals(2, sent);
  }
}

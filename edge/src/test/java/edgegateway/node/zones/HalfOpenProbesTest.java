package edgegateway.node.zones;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.policy.api.ZoneHealth;
import org.junit.jupiter.api.Test;

class HalfOpenProbesTest {
  private static final long MILLISECOND_NANOS = 1_000_000L;

  private int sent;
  private int succeeded;
  private int failed;
  private long nowNanos = ZoneConsensus.VOTE_WINDOW_NANOS;
  private final HalfOpenProbes probes = new HalfOpenProbes(() -> sent++);

  private boolean advance(int requiredAnswers) {
    int attempts = succeeded + failed;
    return probes.advance(
        nowNanos,
        new ZoneHealth(0, 0, 0, 0, 4, 4, 0, 0, 0, 0.3, attempts, failed, 0),
        requiredAnswers);
  }

  @Test
  void sendsAttemptsAtAnIntervalUntilEnoughSucceed() {
    assertFalse(advance(2));
    assertFalse(advance(2));
    assertEquals(1, sent, "the second attempt must wait for the interval");
    nowNanos += 200 * MILLISECOND_NANOS;
    succeeded++;
    assertFalse(advance(2));
    assertEquals(2, sent);
    succeeded++;
    assertTrue(advance(2));
    nowNanos += 200 * MILLISECOND_NANOS;
    assertTrue(advance(2));
    assertEquals(2, sent, "no attempt may follow after enough succeeded");
  }

  @Test
  void startsANewRoundWithDoublingBackoffAfterAFailure() {
    for (long backoffNanos : new long[] {500 * MILLISECOND_NANOS, 1_000 * MILLISECOND_NANOS}) {
      advance(1);
      int sentBefore = sent;
      failed++;
      assertFalse(advance(1));
      nowNanos += backoffNanos - 1;
      assertFalse(advance(1));
      assertEquals(sentBefore, sent, "sent before the end of the backoff, in ns: " + backoffNanos);
      nowNanos++;
      assertFalse(advance(1));
      assertEquals(sentBefore + 1, sent, "sent at the end of the backoff, in ns: " + backoffNanos);
    }
  }

  @Test
  void startsANewRoundInEachVotingWindow() {
    advance(1);
    succeeded++;
    assertTrue(advance(1));
    nowNanos += ZoneConsensus.VOTE_WINDOW_NANOS;
    assertFalse(advance(1));
    assertEquals(2, sent);
  }
}

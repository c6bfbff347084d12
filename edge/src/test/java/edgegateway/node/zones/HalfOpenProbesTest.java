package edgegateway.node.zones;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.policy.api.ZoneHealth;
import org.junit.jupiter.api.Test;

class HalfOpenProbesTest {
  private static final long MILLISECOND_NANOS = 1_000_000L;

  private int sentAttempts;
  private int succeededAttempts;
  private int failedAttempts;
  private long nowNanos = ZoneConsensus.VOTE_WINDOW_NANOS;
  private final HalfOpenProbes probes = new HalfOpenProbes(() -> sentAttempts++);

  /**
   * Advances with the attempts that have ended so far, in zone 0 with 4 endpoints that were all
   * observed and 0.3 of all listed endpoints. Only the total attempts and failures matter here.
   */
  private boolean advance(int requiredSuccesses) {
    int totalAttempts = succeededAttempts + failedAttempts;
    return probes.advance(
        nowNanos,
        new ZoneHealth(0, 0, 0, 0, 4, 4, 0, 0, 0, 0.3, totalAttempts, failedAttempts, 0),
        requiredSuccesses);
  }

  @Test
  void sendsAttemptsAtAnIntervalUntilEnoughSucceed() {
    assertFalse(advance(2));
    assertFalse(advance(2));
    assertEquals(1, sentAttempts, "the second attempt must wait for the interval");
    nowNanos += 200 * MILLISECOND_NANOS;
    succeededAttempts++;
    assertFalse(advance(2));
    assertEquals(2, sentAttempts);
    succeededAttempts++;
    assertTrue(advance(2));
    nowNanos += 200 * MILLISECOND_NANOS;
    assertTrue(advance(2));
    assertEquals(2, sentAttempts, "no attempt may follow after enough succeeded");
  }

  @Test
  void startsANewRoundWithDoublingBackoffAfterAFailure() {
    for (long backoffNanos : new long[] {500 * MILLISECOND_NANOS, 1_000 * MILLISECOND_NANOS}) {
      advance(1);
      int sentBefore = sentAttempts;
      failedAttempts++;
      assertFalse(advance(1));
      nowNanos += backoffNanos - 1;
      assertFalse(advance(1));
      assertEquals(
          sentBefore, sentAttempts, "sent before the end of the backoff, in ns: " + backoffNanos);
      nowNanos++;
      assertFalse(advance(1));
      assertEquals(
          sentBefore + 1, sentAttempts, "sent at the end of the backoff, in ns: " + backoffNanos);
    }
  }

  @Test
  void startsANewRoundInEachVotingWindow() {
    advance(1);
    succeededAttempts++;
    assertTrue(advance(1));
    nowNanos += ZoneConsensus.VOTE_WINDOW_NANOS;
    assertFalse(advance(1));
    assertEquals(2, sentAttempts);
  }
}

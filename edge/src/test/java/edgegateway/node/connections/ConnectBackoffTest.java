package edgegateway.node.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Connect backoff and learned connection limit of one archive server; times are arguments. */
class ConnectBackoffTest {
  private static final long MS = 1_000_000L;
  private final ConnectBackoff backoff = new ConnectBackoff(new SplittableRandom(1));

  @Test
  void eachFailureDoublesTheDelayUpToASecond() {
    long now = 0;
    long delayNanos = 20 * MS;
    for (int failures = 1; failures <= 20; failures++) {
      assertTrue(backoff.allowsConnect(now));
      backoff.connectFailed(now);
      assertTrue(backoff.isFailing());
      // With its random jitter, the backoff is between half of the delay and the full delay.
      assertFalse(backoff.allowsConnect(now + delayNanos / 2 - 1), "failure " + failures);
      assertTrue(backoff.allowsConnect(now + delayNanos), "failure " + failures);
      now += delayNanos;
      delayNanos = Math.min(1_000 * MS, 2 * delayNanos);
    }
  }

  @Test
  void aSuccessResetsTheDelay() {
    backoff.connectFailed(0);
    backoff.connectFailed(100 * MS);
    backoff.connected();
    assertFalse(backoff.isFailing());
    backoff.connectFailed(1_000 * MS);
    assertTrue(backoff.allowsConnect(1_020 * MS));
  }

  @Test
  void exhaustedDescriptorsAreAShortDelayAndNotAFailure() {
    backoff.descriptorsExhausted(0);
    assertFalse(backoff.isFailing());
    assertFalse(backoff.allowsConnect(20 * MS - 1));
    assertTrue(backoff.allowsConnect(20 * MS));
  }

  @Test
  void theLearnedLimitGrowsByOnePerPeriod() {
    LearnedConnectionLimit limit = new LearnedConnectionLimit();
    assertEquals(Integer.MAX_VALUE, limit.current(10_000 * MS));
    limit.connectRefused(3, 10_000 * MS);
    assertEquals(3, limit.current(12_000 * MS));
    assertEquals(4, limit.current(12_001 * MS));
    assertEquals(4, limit.current(14_001 * MS));
    assertEquals(5, limit.current(14_002 * MS));
  }
}

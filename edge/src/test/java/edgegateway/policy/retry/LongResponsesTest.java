package edgegateway.policy.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests which responses go on after their time. */
class LongResponsesTest {
  private static final long MILLI = 1_000_000;
  private static final long KIB = 1 << 10;
  private static final long MIB = 1 << 20;

  @Test
  void onlyAResponseThatMayBeLongIsStreamedAtTheTimeout() {
    assertFalse(LongResponses.streamsAtTimeout(64 * KIB, 0));
    assertTrue(LongResponses.streamsAtTimeout(64 * KIB + 1, 0));
    assertTrue(LongResponses.streamsAtTimeout(LongResponses.UNKNOWN_LENGTH, 500 * MILLI));
  }

  @Test
  void theResponseOfAServerThatStoppedIsCutOffAtTheTimeout() {
    assertFalse(LongResponses.streamsAtTimeout(MIB, 601 * MILLI));
  }

  @Test
  void aLongResponseGoesOnAfterItsDeadlineWhileTheServerSends() {
    assertTrue(LongResponses.goesOnAfterDeadline(MIB, 0, 500 * MILLI, 10_000 * MILLI));
    assertTrue(LongResponses.goesOnAfterDeadline(-1, 65 * KIB, 500 * MILLI, 10_000 * MILLI));
    assertFalse(LongResponses.goesOnAfterDeadline(MIB, 0, 1_501 * MILLI, 0));
  }

  @Test
  void aShortResponseIsCompleteOrCutOffHalfASecondAfterItsDeadline() {
    assertFalse(LongResponses.goesOnAfterDeadline(KIB, 10, 0, 0));
    assertTrue(LongResponses.goesOnAfterDeadline(-1, 10 * KIB, 0, 300 * MILLI));
    assertFalse(LongResponses.goesOnAfterDeadline(-1, 10 * KIB, 0, 401 * MILLI));
  }

  @Test
  void aResponseLongerThanAnySoundOneIsCutOff() {
    assertEquals(32 * MIB, LongResponses.MAX_BYTES);
    assertFalse(LongResponses.goesOnAfterDeadline(32 * MIB + 1, 0, 0, 0));
    assertFalse(LongResponses.goesOnAfterDeadline(-1, 32 * MIB + 1, 0, 0));
  }
}

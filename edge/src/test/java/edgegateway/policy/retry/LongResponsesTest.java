package edgegateway.policy.retry;

import static edgegateway.policy.api.ResponseProgress.UNKNOWN_LENGTH;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.policy.api.ResponseProgress;
import org.junit.jupiter.api.Test;

/** Tests which responses go on after their time. */
class LongResponsesTest {
  private static final long MILLI = 1_000_000;
  private static final long KIB = 1 << 10;
  private static final long MIB = 1 << 20;

  private static boolean streamsAtTimeout(long declaredBytes, long silentNanos) {
    return LongResponses.streamsAtTimeout(new ResponseProgress(declaredBytes, 0, silentNanos, 0));
  }

  private static boolean goesOnAfterDeadline(
      long declaredBytes, long receivedBytes, long silentNanos, long lateNanos) {
    return LongResponses.goesOnAfterDeadline(
        new ResponseProgress(declaredBytes, receivedBytes, silentNanos, 0), lateNanos);
  }

  @Test
  void onlyAResponseThatMayBeLongIsStreamedAtTheTimeout() {
    assertFalse(streamsAtTimeout(64 * KIB, 0));
    assertTrue(streamsAtTimeout(64 * KIB + 1, 0));
    assertTrue(streamsAtTimeout(UNKNOWN_LENGTH, 500 * MILLI));
  }

  @Test
  void theResponseOfAServerThatPausesIsNotCutOffAtTheTimeout() {
    assertTrue(streamsAtTimeout(MIB, 3_000 * MILLI));
    assertTrue(streamsAtTimeout(UNKNOWN_LENGTH, 3_000 * MILLI));
  }

  @Test
  void theResponseOfAServerThatStoppedIsCutOffAtTheTimeout() {
    assertFalse(streamsAtTimeout(MIB, 3_001 * MILLI));
    assertFalse(streamsAtTimeout(UNKNOWN_LENGTH, 3_001 * MILLI));
  }

  @Test
  void aLongResponseGoesOnAfterItsDeadlineWhileTheServerSends() {
    assertTrue(goesOnAfterDeadline(MIB, 0, 3_000 * MILLI, 10_000 * MILLI));
    assertTrue(goesOnAfterDeadline(UNKNOWN_LENGTH, 65 * KIB, 3_000 * MILLI, 10_000 * MILLI));
    assertFalse(goesOnAfterDeadline(MIB, 0, 3_001 * MILLI, 0));
    assertFalse(goesOnAfterDeadline(UNKNOWN_LENGTH, 65 * KIB, 3_001 * MILLI, 0));
  }

  @Test
  void aResponseWithoutLengthOfWhichMuchHasArrivedCountsAsLong() {
    assertTrue(goesOnAfterDeadline(UNKNOWN_LENGTH, 16 * KIB, 3_000 * MILLI, 10_000 * MILLI));
    assertFalse(goesOnAfterDeadline(UNKNOWN_LENGTH, 16 * KIB - 1, 0, 401 * MILLI));
  }

  /** Guards against taking a server that writes slowly for one that has broken off. */
  @Test
  void aResponseWithoutLengthThatIsWrittenSlowlyCountsAsLong() {
    ResponseProgress slow = new ResponseProgress(UNKNOWN_LENGTH, KIB, 3_000 * MILLI, 300 * MILLI);
    assertTrue(LongResponses.goesOnAfterDeadline(slow, 10_000 * MILLI));
    assertTrue(LongResponses.streamsBuffered(slow, 1_000 * MILLI));
    assertFalse(LongResponses.streamsBuffered(slow, 999 * MILLI));
    ResponseProgress burst = new ResponseProgress(UNKNOWN_LENGTH, KIB, 0, 299 * MILLI);
    assertFalse(LongResponses.goesOnAfterDeadline(burst, 401 * MILLI));
    assertFalse(LongResponses.streamsBuffered(burst, 1_000 * MILLI));
    ResponseProgress stopped =
        new ResponseProgress(UNKNOWN_LENGTH, KIB, 3_001 * MILLI, 300 * MILLI);
    assertFalse(LongResponses.goesOnAfterDeadline(stopped, 0));
  }

  @Test
  void theBeginningOfALongResponseIsNotHeldForSeconds() {
    ResponseProgress half = new ResponseProgress(100 * KIB, 50 * KIB, 0, 0);
    assertFalse(LongResponses.streamsBuffered(half, 999 * MILLI));
    assertTrue(LongResponses.streamsBuffered(half, 1_000 * MILLI));
    ResponseProgress few = new ResponseProgress(100 * KIB, 10, 0, 0);
    assertFalse(LongResponses.streamsBuffered(few, 1_000 * MILLI));
    ResponseProgress shortOne = new ResponseProgress(50 * KIB, 40 * KIB, 0, 0);
    assertFalse(LongResponses.streamsBuffered(shortOne, 1_000 * MILLI));
  }

  @Test
  void theRestOfAHeadIsWaitedForUntilTheDeadlineOrTheServerStops() {
    assertEquals(2_000 * MILLI, LongResponses.headWaitNanos(0, 2_000 * MILLI));
    assertEquals(1_000 * MILLI, LongResponses.headWaitNanos(2_000 * MILLI, 2_000 * MILLI));
    assertTrue(LongResponses.headWaitNanos(3_000 * MILLI, 2_000 * MILLI) <= 0);
    assertTrue(LongResponses.headWaitNanos(0, 0) <= 0);
  }

  @Test
  void aShortResponseIsCompleteOrCutOffHalfASecondAfterItsDeadline() {
    assertFalse(goesOnAfterDeadline(KIB, 10, 0, 0));
    assertTrue(goesOnAfterDeadline(UNKNOWN_LENGTH, 10 * KIB, 0, 300 * MILLI));
    assertTrue(goesOnAfterDeadline(UNKNOWN_LENGTH, 0, 1_000 * MILLI, 400 * MILLI));
    assertFalse(goesOnAfterDeadline(UNKNOWN_LENGTH, 10 * KIB, 0, 401 * MILLI));
  }

  @Test
  void aResponseLongerThanAnySoundOneIsCutOff() {
    assertEquals(32 * MIB, LongResponses.MAX_BYTES);
    assertFalse(goesOnAfterDeadline(32 * MIB + 1, 0, 0, 0));
    assertFalse(goesOnAfterDeadline(UNKNOWN_LENGTH, 32 * MIB + 1, 0, 0));
    assertFalse(streamsAtTimeout(32 * MIB + 1, 0));
  }
}

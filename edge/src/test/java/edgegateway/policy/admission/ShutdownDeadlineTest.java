package edgegateway.policy.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import edgegateway.policy.api.Idempotency;
import edgegateway.policy.api.RequestClass;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The kill comes 0.7 s after the longest client timeout, of which 3 s count; 0.3 s are left to it.
 */
class ShutdownDeadlineTest {
  private static final long MILLI = 1_000_000;
  private static final long STOP_NANOS = -5 * MILLI;

  private static RequestClass withTimeoutMillis(long millis) {
    return new RequestClass(MILLI, millis * MILLI, Idempotency.IDEMPOTENT, null, 0, 0, 1);
  }

  private static long answerByMillisAfterStop(RequestClass... classes) {
    return (ShutdownDeadline.answerByNanos(STOP_NANOS, List.of(classes)) - STOP_NANOS) / MILLI;
  }

  @Test
  void theLongestClientTimeoutCountsUpToThreeSeconds() {
    assertEquals(1_600, answerByMillisAfterStop(withTimeoutMillis(1_200), withTimeoutMillis(400)));
    assertEquals(3_400, answerByMillisAfterStop(withTimeoutMillis(3_000)));
    assertEquals(3_400, answerByMillisAfterStop(withTimeoutMillis(400), withTimeoutMillis(6_000)));
    assertEquals(400, answerByMillisAfterStop());
  }
}

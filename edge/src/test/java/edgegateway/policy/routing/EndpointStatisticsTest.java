package edgegateway.policy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.policy.RecordedActions;
import edgegateway.policy.api.AttemptResult;
import edgegateway.policy.api.Endpoint;
import edgegateway.policy.api.EndpointState;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.time.Durations;
import edgegateway.policy.time.EventClock;
import java.util.List;
import org.junit.jupiter.api.Test;

class EndpointStatisticsTest {
  private static final Endpoint ENDPOINT = new Endpoint("a", 1, 0, 0, 0, EndpointState.READY, 0);
  private static final double SERVICE_SECONDS = 0.02;
  private static final int ROUTABLE_ENDPOINTS = 100;

  private final EventClock clock = new EventClock(Durations.NANOS_PER_SECOND);
  private final RecordedActions actions = new RecordedActions();
  private final EndpointStatistics statistics =
      new EndpointStatistics(clock, new PeerAverages(), actions, ENDPOINT);

  /** Reports the end of an attempt that took exactly the expected service time. */
  private void attemptEnded(Outcome outcome) {
    AttemptResult result =
        new AttemptResult(
            "r", outcome, Durations.toNanos(SERVICE_SECONDS), "a", false, 0, 0, List.of());
    statistics.attemptEnded(ENDPOINT, result, SERVICE_SECONDS, ROUTABLE_ENDPOINTS);
  }

  @Test
  void connectFailureEjectsAtOnceAndFourSuccessesReadmit() {
    attemptEnded(Outcome.CONNECT_FAILED);
    assertTrue(statistics.isOutlier(ENDPOINT));
    assertEquals(List.of("endpoint_ejected id=a cause=CONNECT_FAILED"), actions.logs);
    for (int i = 0; i < 4; i++) {
      attemptEnded(Outcome.OK);
    }
    assertFalse(statistics.isOutlier(ENDPOINT));
    assertEquals("endpoint_readmitted id=a cause=OK", actions.logs.get(1));
  }

  @Test
  void errorRateDecaysTowardsPeerAverage() {
    attemptEnded(Outcome.CONNECT_FAILED);
    // One time constant of the decay.
    clock.set(clock.nowNanos() + 4 * Durations.NANOS_PER_SECOND);
    assertEquals(Math.exp(-1), statistics.expectedErrorRate(ENDPOINT), 0.01);
    assertFalse(statistics.isOutlier(ENDPOINT));
  }

  @Test
  void rejectionDoesNotCountAsFailure() {
    attemptEnded(Outcome.REJECTED);
    assertFalse(statistics.lastAttemptFailed());
    attemptEnded(Outcome.ERROR);
    assertTrue(statistics.lastAttemptFailed());
    assertFalse(statistics.lastAttemptUnanswered());
    attemptEnded(Outcome.TIMEOUT);
    assertTrue(statistics.lastAttemptUnanswered());
  }
}

package edgegateway.policy.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ClassIntervalStatisticsTest {
  private final ClassIntervalStatistics statistics = Fixtures.statistics(3);

  @Test
  void successfulAttemptsAreCountedAndAveraged() {
    Fixtures.succeed(statistics, 4, 0.1, 0.15);
    assertEquals(4, statistics.arrivals());
    assertEquals(4, statistics.succeeded());
    assertEquals(0.1, statistics.meanWaitSeconds(), 1e-12);
    // Objective 0.5 s / mean latency 0.25 s / scale 10.
    assertEquals(0.2, statistics.normalizedInverseLatency(), 1e-12);
  }

  @Test
  void normalizedInverseLatencyNeverExceedsOne() {
    Fixtures.succeed(statistics, 1, 0, 0.001);
    assertEquals(1, statistics.normalizedInverseLatency());
  }

  @Test
  void fastFailureCountsAsTwiceTheLatencyObjective() {
    statistics.attemptFailed(0.001, false);
    assertEquals(2 * Fixtures.OBJECTIVE_SECONDS, statistics.serviceTimeQuantileSeconds(1));
    assertEquals(0, statistics.succeeded());
  }

  @Test
  void timeoutBeforeObjectiveCountsWithActualDuration() {
    statistics.attemptFailed(0.2, true);
    assertEquals(0.2, statistics.serviceTimeQuantileSeconds(1));
  }

  @Test
  void quantilesAreTakenFromSortedServiceTimes() {
    for (int tenths = 10; tenths >= 0; tenths--) {
      statistics.attemptSucceeded(1, 1, 0, tenths / 10.0);
    }
    assertEquals(0, statistics.serviceTimeQuantileSeconds(0));
    assertEquals(0.9, statistics.serviceTimeQuantileSeconds(0.9));
    assertEquals(1, statistics.serviceTimeQuantileSeconds(1));
  }

  @Test
  void resetKeepsOnlyAverageWeightedUnits() {
    for (int request = 0; request < 1000; request++) {
      statistics.requestArrived();
      statistics.attemptSucceeded(5, 0.2, 0.1, 0.1);
    }
    statistics.reset();
    assertEquals(0, statistics.arrivals());
    assertEquals(0, statistics.succeeded());
    assertEquals(0, statistics.meanWaitSeconds());
    assertFalse(statistics.hasServiceTimes());
    assertEquals(3 * 5, statistics.valuePerRequest(), 1e-3);
  }

  @Test
  void averageWeightedUnitsFollowGradually() {
    assertEquals(3, statistics.valuePerRequest());
    statistics.attemptSucceeded(2, 0.2, 0.1, 0.1);
    assertTrue(statistics.valuePerRequest() > 3 && statistics.valuePerRequest() < 3.1);
  }
}

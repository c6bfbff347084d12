package edgegateway.policy.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.ejml.simple.SimpleMatrix;
import org.junit.jupiter.api.Test;

class UtilityOptimizerTest {
  private static final int REQUESTS_PER_INTERVAL = 100;

  /**
   * Model of two classes whose normalized throughput and inverse latency are proportional to the
   * class's share in the fair queue. Rows of both matrices: throughput of class 0, throughput of
   * class 1, inverse latency of class 0, inverse latency of class 1. Columns of the gain: share of
   * class 0, share of class 1. The offset is 0 and the gain of the throughput is 1, so the first
   * two references equal the allocated shares.
   */
  private static final LinearModel PROPORTIONAL_MODEL =
      new LinearModel(
          new SimpleMatrix(4, 1),
          new SimpleMatrix(new double[][] {{1, 0}, {0, 1}, {0.2, 0}, {0, 0.2}}));

  private static ClassIntervalStatistics statisticsWithArrivals(
      double priorityWeight, int arrivals) {
    ClassIntervalStatistics statistics = Fixtures.statistics(priorityWeight);
    for (int request = 0; request < arrivals; request++) {
      statistics.requestArrived();
    }
    return statistics;
  }

  private static SimpleMatrix references(ClassIntervalStatistics... classes) {
    return new UtilityOptimizer(List.of(classes))
        .references(PROPORTIONAL_MODEL, REQUESTS_PER_INTERVAL);
  }

  @Test
  void classWithHigherWeightGetsLargerShare() {
    SimpleMatrix references =
        references(
            statisticsWithArrivals(1, REQUESTS_PER_INTERVAL),
            statisticsWithArrivals(4, REQUESTS_PER_INTERVAL));
    assertTrue(references.get(1) > references.get(0), references.toString());
  }

  @Test
  void referencesMatchSharesThatSumToOne() {
    SimpleMatrix references =
        references(
            statisticsWithArrivals(1, REQUESTS_PER_INTERVAL),
            statisticsWithArrivals(4, REQUESTS_PER_INTERVAL));
    assertEquals(1, references.get(0) + references.get(1), 1e-9);
    assertEquals(0.2, references.get(2) + references.get(3), 1e-9);
  }

  @Test
  void classWithFewArrivalsGetsSmallerShare() {
    SimpleMatrix references =
        references(statisticsWithArrivals(1, REQUESTS_PER_INTERVAL), statisticsWithArrivals(4, 1));
    assertTrue(references.get(0) > references.get(1), references.toString());
  }

  @Test
  void sharesSumToOneWithoutArrivals() {
    SimpleMatrix references =
        references(statisticsWithArrivals(1, 0), statisticsWithArrivals(4, 0));
    assertEquals(1, references.get(0) + references.get(1), 1e-9);
  }
}

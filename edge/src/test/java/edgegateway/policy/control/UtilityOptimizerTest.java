package edgegateway.policy.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.ejml.simple.SimpleMatrix;
import org.junit.jupiter.api.Test;

class UtilityOptimizerTest {
  private static final int REQUESTS = 100;

  /** Throughput and inverse latency of each class in proportion to its share. */
  private static final LinearModel PROPORTIONAL =
      new LinearModel(
          new SimpleMatrix(4, 1),
          new SimpleMatrix(new double[][] {{1, 0}, {0, 1}, {0.2, 0}, {0, 0.2}}));

  private static ClassIntervalStatistics withArrivals(double weight, int arrivals) {
    ClassIntervalStatistics statistics = Fixtures.statistics(weight);
    for (int request = 0; request < arrivals; request++) {
      statistics.requestArrived();
    }
    return statistics;
  }

  private static SimpleMatrix references(ClassIntervalStatistics... classes) {
    return new UtilityOptimizer(List.of(classes)).references(PROPORTIONAL, REQUESTS);
  }

  @Test
  void prefersTheHigherWeight() {
    SimpleMatrix references = references(withArrivals(1, REQUESTS), withArrivals(4, REQUESTS));
    assertTrue(references.get(1) > references.get(0), references.toString());
  }

  @Test
  void referencesArePredictedForSharesThatSumToOne() {
    SimpleMatrix references = references(withArrivals(1, REQUESTS), withArrivals(4, REQUESTS));
    assertEquals(1, references.get(0) + references.get(1), 1e-9);
    assertEquals(0.2, references.get(2) + references.get(3), 1e-9);
  }

  @Test
  void givesNoMoreThanArrivedCanUse() {
    SimpleMatrix references = references(withArrivals(1, REQUESTS), withArrivals(4, 1));
    assertTrue(references.get(0) > references.get(1), references.toString());
  }

  @Test
  void handsOutAllThoughNothingIsGained() {
    SimpleMatrix references = references(withArrivals(1, 0), withArrivals(4, 0));
    assertEquals(1, references.get(0) + references.get(1), 1e-9);
  }
}

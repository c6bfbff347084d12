package edgegateway.policy.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class ConcurrencyControllerTest {
  private final ClassIntervalStatistics tightObjectiveClass = Fixtures.statistics(1);
  private final ClassIntervalStatistics looseObjectiveClass =
      Fixtures.statistics(1, 5_000_000_000L);
  private final List<ClassIntervalStatistics> classes =
      List.of(looseObjectiveClass, tightObjectiveClass);

  private ConcurrencyController controller(int nodeCount, double usableCapacity) {
    ConcurrencyController controller = new ConcurrencyController(classes, nodeCount);
    controller.capacityChanged(usableCapacity);
    return controller;
  }

  private void endInterval(ConcurrencyController controller) {
    controller.intervalEnded();
    classes.forEach(ClassIntervalStatistics::reset);
  }

  /**
   * Runs an interval in which the limit is reached and 20 attempts of the class with the tight
   * objective have the given service time.
   */
  private void runIntervalAtLimit(ConcurrencyController controller, double serviceSeconds) {
    controller.markLimitReached();
    Fixtures.succeed(tightObjectiveClass, 20, 0, serviceSeconds);
    endInterval(controller);
  }

  @Test
  void maximumIsNodePartOfSixAttemptsPerEndpoint() {
    assertEquals(120, controller(1, 20).limit());
    assertEquals(6, controller(20, 20).limit());
    assertEquals(0.5, controller(240, 20).limit());
    assertEquals(0.25, controller(10_000, 20).limit());
  }

  @Test
  void endpointsInSlowStartCountByCapacityFraction() {
    assertEquals(21, controller(1, 2 + 6 * 0.25).limit());
    assertEquals(3.5, controller(1, 3.5).effectiveEndpoints());
    assertEquals(0.25, controller(1, 0).effectiveEndpoints());
  }

  @Test
  void limitFallsWhenLatencyExceedsObjective() {
    ConcurrencyController controller = controller(1, 20);
    double previous = controller.limit();
    runIntervalAtLimit(controller, 2 * Fixtures.OBJECTIVE_SECONDS);
    assertTrue(controller.limit() < previous, "limit " + controller.limit());
    assertTrue(controller.limit() >= 0.25 * previous, "limit " + controller.limit());
  }

  @Test
  void limitStaysAtMaximumWhenLatencyMeetsObjective() {
    ConcurrencyController controller = controller(1, 20);
    runIntervalAtLimit(controller, 0.2 * Fixtures.OBJECTIVE_SECONDS);
    assertEquals(120, controller.limit());
  }

  @Test
  void queueWaitLowersLimit() {
    ConcurrencyController withQueueWait = controller(1, 20);
    withQueueWait.markLimitReached();
    Fixtures.succeed(tightObjectiveClass, 20, 0.3, 0.4);
    endInterval(withQueueWait);
    ConcurrencyController withoutQueueWait = controller(1, 20);
    runIntervalAtLimit(withoutQueueWait, 0.4);
    assertTrue(withQueueWait.limit() < withoutQueueWait.limit());
  }

  @Test
  void classWithTightestObjectiveSetsLimit() {
    ConcurrencyController controller = controller(1, 20);
    controller.markLimitReached();
    Fixtures.succeed(looseObjectiveClass, 100, 0, 50);
    Fixtures.succeed(tightObjectiveClass, 1, 0, 0.1);
    endInterval(controller);
    assertEquals(120, controller.limit());
  }

  @Test
  void intervalsWithoutTrafficKeepLimit() {
    ConcurrencyController controller = controller(1, 20);
    runIntervalAtLimit(controller, 2 * Fixtures.OBJECTIVE_SECONDS);
    double limit = controller.limit();
    for (int interval = 0; interval < 10; interval++) {
      endInterval(controller);
      assertEquals(limit, controller.limit());
    }
  }

  @Test
  void unreachedLimitReturnsToMaximum() {
    ConcurrencyController controller = controller(1, 20);
    for (int interval = 0; interval < 5; interval++) {
      runIntervalAtLimit(controller, 2 * Fixtures.OBJECTIVE_SECONDS);
    }
    assertTrue(controller.limit() < 100, "limit " + controller.limit());
    for (int interval = 0; interval < 20; interval++) {
      Fixtures.succeed(tightObjectiveClass, 20, 0, 2 * Fixtures.OBJECTIVE_SECONDS);
      endInterval(controller);
    }
    assertEquals(120, controller.limit());
  }

  @Test
  void removedEndpointsLowerLimitImmediately() {
    ConcurrencyController controller = controller(1, 20);
    controller.capacityChanged(5);
    assertEquals(30, controller.limit());
  }

  @Test
  void addedEndpointsDoNotRaiseLoweredLimit() {
    ConcurrencyController controller = controller(1, 20);
    for (int interval = 0; interval < 5; interval++) {
      runIntervalAtLimit(controller, 2 * Fixtures.OBJECTIVE_SECONDS);
    }
    double lowered = controller.limit();
    controller.capacityChanged(40);
    assertEquals(lowered, controller.limit());
  }
}

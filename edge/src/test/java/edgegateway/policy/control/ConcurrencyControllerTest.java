package edgegateway.policy.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class ConcurrencyControllerTest {
  private final ClassIntervalStatistics tight = Fixtures.statistics(1);
  private final ClassIntervalStatistics loose = Fixtures.statistics(1, 5_000_000_000L);
  private final List<ClassIntervalStatistics> classes = List.of(loose, tight);

  private ConcurrencyController controller(int nodes, double endpoints) {
    ConcurrencyController controller = new ConcurrencyController(classes, nodes);
    controller.capacityChanged(endpoints);
    return controller;
  }

  private void endInterval(ConcurrencyController controller) {
    controller.intervalEnded();
    classes.forEach(ClassIntervalStatistics::reset);
  }

  /** An interval that reached its limit and in which the tight class took so long. */
  private void busyInterval(ConcurrencyController controller, double serviceSeconds) {
    controller.markLimitReached();
    Fixtures.succeed(tight, 20, 0, serviceSeconds);
    endInterval(controller);
  }

  @Test
  void theMaximumIsThisNodesPartOfSixAttemptsPerEndpoint() {
    assertEquals(120, controller(1, 20).limit());
    assertEquals(6, controller(20, 20).limit());
    assertEquals(0.5, controller(240, 20).limit());
    assertEquals(0.25, controller(10_000, 20).limit());
  }

  @Test
  void endpointsInSlowStartCountByTheirFactor() {
    assertEquals(21, controller(1, 2 + 6 * 0.25).limit());
    assertEquals(3.5, controller(1, 3.5).effectiveEndpoints());
    assertEquals(0.25, controller(1, 0).effectiveEndpoints());
  }

  @Test
  void theLimitFallsWhenLatencyIsAboveTheObjective() {
    ConcurrencyController controller = controller(1, 20);
    double previous = controller.limit();
    busyInterval(controller, 2 * Fixtures.OBJECTIVE_SECONDS);
    assertTrue(controller.limit() < previous, "limit " + controller.limit());
    assertTrue(controller.limit() >= 0.25 * previous, "limit " + controller.limit());
  }

  @Test
  void theLimitStaysAtItsMaximumWhenLatencyIsBelowTheObjective() {
    ConcurrencyController controller = controller(1, 20);
    busyInterval(controller, 0.2 * Fixtures.OBJECTIVE_SECONDS);
    assertEquals(120, controller.limit());
  }

  @Test
  void theWaitInTheQueueLeavesLessForTheService() {
    ConcurrencyController waiting = controller(1, 20);
    waiting.markLimitReached();
    Fixtures.succeed(tight, 20, 0.3, 0.4);
    endInterval(waiting);
    ConcurrencyController notWaiting = controller(1, 20);
    busyInterval(notWaiting, 0.4);
    assertTrue(waiting.limit() < notWaiting.limit());
  }

  @Test
  void theClassOfTheTightestObjectiveDecides() {
    ConcurrencyController controller = controller(1, 20);
    controller.markLimitReached();
    Fixtures.succeed(loose, 100, 0, 50);
    Fixtures.succeed(tight, 1, 0, 0.1);
    endInterval(controller);
    assertEquals(120, controller.limit());
  }

  @Test
  void anIntervalWithoutTrafficChangesNothing() {
    ConcurrencyController controller = controller(1, 20);
    busyInterval(controller, 2 * Fixtures.OBJECTIVE_SECONDS);
    double limit = controller.limit();
    for (int interval = 0; interval < 10; interval++) {
      endInterval(controller);
      assertEquals(limit, controller.limit());
    }
  }

  @Test
  void aLimitThatIsNotReachedDriftsBackToTheMaximum() {
    ConcurrencyController controller = controller(1, 20);
    for (int interval = 0; interval < 5; interval++) {
      busyInterval(controller, 2 * Fixtures.OBJECTIVE_SECONDS);
    }
    assertTrue(controller.limit() < 100, "limit " + controller.limit());
    for (int interval = 0; interval < 20; interval++) {
      Fixtures.succeed(tight, 20, 0, 2 * Fixtures.OBJECTIVE_SECONDS);
      endInterval(controller);
    }
    assertEquals(120, controller.limit());
  }

  @Test
  void fewerEndpointsLowerTheLimitAtOnce() {
    ConcurrencyController controller = controller(1, 20);
    controller.capacityChanged(5);
    assertEquals(30, controller.limit());
  }

  @Test
  void moreEndpointsDoNotLiftALimitThatTheControllerLowered() {
    ConcurrencyController controller = controller(1, 20);
    for (int interval = 0; interval < 5; interval++) {
      busyInterval(controller, 2 * Fixtures.OBJECTIVE_SECONDS);
    }
    double lowered = controller.limit();
    controller.capacityChanged(40);
    assertEquals(lowered, controller.limit());
  }
}

package edgegateway.policy.control;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ShareControllerTest {
  private final List<ClassIntervalStatistics> classes =
      List.of(Fixtures.statistics(1), Fixtures.statistics(3));
  private final ShareController controller = new ShareController(classes);

  private double[] shares() {
    return new double[] {controller.share(0), controller.share(1)};
  }

  private void endInterval() {
    controller.intervalEnded();
    classes.forEach(ClassIntervalStatistics::reset);
  }

  @Test
  void sharesFollowPriorityWeightsUntilModelIsFitted() {
    assertArrayEquals(new double[] {0.25, 0.75}, shares(), 1e-12);
    for (int interval = 0; interval < 3 * classes.size(); interval++) {
      classes.forEach(statistics -> Fixtures.succeed(statistics, 20, 0.05, 0.1));
      endInterval();
      assertArrayEquals(new double[] {0.25, 0.75}, shares(), 1e-12);
    }
  }

  @Test
  void sharesSumToOneAndNeverStarveAClass() {
    SplittableRandom random = new SplittableRandom(5);
    double[] initialShares = shares();
    for (int interval = 0; interval < 200; interval++) {
      for (ClassIntervalStatistics statistics : classes) {
        Fixtures.succeed(
            statistics, random.nextInt(50), random.nextDouble(), random.nextDouble(0.01, 1));
      }
      endInterval();
      assertEquals(1, Arrays.stream(shares()).sum(), 1e-9);
      assertTrue(Arrays.stream(shares()).allMatch(share -> share >= Shares.MIN_SHARE / 2));
    }
    assertTrue(Math.abs(initialShares[0] - controller.share(0)) > 1e-6, "shares did not change");
  }

  @Test
  void intervalsWithoutTrafficKeepInitialShares() {
    for (int interval = 0; interval < 100; interval++) {
      endInterval();
      assertArrayEquals(new double[] {0.25, 0.75}, shares(), 1e-12);
    }
  }

  @Test
  void classWithoutTrafficKeepsMinimumShare() {
    for (int interval = 0; interval < 100; interval++) {
      Fixtures.succeed(classes.get(1), 30, 0.1, 0.1 + 0.001 * interval);
      endInterval();
      assertTrue(controller.share(0) >= Shares.MIN_SHARE / 2);
    }
  }
}

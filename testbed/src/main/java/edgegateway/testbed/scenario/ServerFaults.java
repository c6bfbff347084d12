package edgegateway.testbed.scenario;

import edgegateway.testbed.fakes.FakeArchiveServer;
import edgegateway.testbed.scenario.Scenario.Trouble;
import java.util.SplittableRandom;

/** What a scenario does to the core of an archive server that goes on running. */
public final class ServerFaults {
  private static final double SLOWER = 5;
  private static final double FAILING = 0.2;

  private ServerFaults() {}

  /** It begins, at a time of the core's clock; other troubles are none of the core's. */
  public static void begin(
      Trouble what, FakeArchiveServer<?> core, long now, SplittableRandom chance) {
    if (what == Trouble.SLOW) {
      core.slow(now, SLOWER);
    } else if (what == Trouble.FAILING) {
      core.fail(now, FAILING, chance);
    }
  }

  /** It ends. */
  public static void end(Trouble what, FakeArchiveServer<?> core, long now) {
    if (what == Trouble.SLOW) {
      core.slow(now, 1);
    } else if (what == Trouble.FAILING) {
      core.fail(now, 0, null);
    }
  }
}

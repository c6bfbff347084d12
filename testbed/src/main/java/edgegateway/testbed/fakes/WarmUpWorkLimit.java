package edgegateway.testbed.fakes;

import java.util.ArrayDeque;

/**
 * How much work may reach a cold server: in each window of a given span at most a multiple of what
 * it could do in it (wire page, rule 4). Work counts when it arrives, whether it is taken or turned
 * away.
 */
final class WarmUpWorkLimit {
  private record Arrival(long atNanos, double work) {}

  private final FakeArchiveServerSettings settings;
  private final ArrayDeque<Arrival> window = new ArrayDeque<>();
  private double windowWork;

  WarmUpWorkLimit(FakeArchiveServerSettings settings) {
    this.settings = settings;
  }

  /**
   * Work arrives at a server that does {@code capacity} nanoseconds of it in each; how much of the
   * bound is used, above 1 too much.
   */
  double usedFraction(long nowNanos, double work, double capacity) {
    window.add(new Arrival(nowNanos, work));
    windowWork += work;
    while (window.peek().atNanos <= nowNanos - settings.overloadWindowNanos()) {
      windowWork -= window.poll().work;
    }
    // A request more than the bound may be chance: the smallest servers would fall over by one.
    return (windowWork - work)
        / (settings.overloadFactor() * capacity * settings.overloadWindowNanos());
  }
}

package edgegateway.testbed.scenario;

import edgegateway.testbed.fakes.FakeCounter;
import edgegateway.testbed.scenario.Scenario.CounterTrouble;
import java.util.SplittableRandom;
import java.util.function.IntConsumer;

/** What a scenario does to the core of a counter. */
public final class CounterFaults {
  private static final double SLOWER = 10;

  private CounterFaults() {}

  /** It begins, at a time of the core's clock. */
  public static void begin(CounterTrouble what, FakeCounter<?> core, long now) {
    switch (what) {
      case GONE -> parts(core, part -> core.lose(now, part));
      case FLUSHED -> flush(core, now);
      case SLOW -> core.slow(now, SLOWER);
    }
  }

  /** It ends. */
  public static void end(CounterTrouble what, FakeCounter<?> core, long now) {
    switch (what) {
      case GONE -> parts(core, part -> core.restore(now, part));
      case FLUSHED -> flush(core, now);
      case SLOW -> core.slow(now, 1);
    }
  }

  private static void flush(FakeCounter<?> core, long now) {
    // All names are forgotten: nothing is drawn.
    core.flush(now, 1, new SplittableRandom(0));
  }

  private static void parts(FakeCounter<?> core, IntConsumer what) {
    for (int part = 0; part < core.parts(); part++) {
      what.accept(part);
    }
  }
}

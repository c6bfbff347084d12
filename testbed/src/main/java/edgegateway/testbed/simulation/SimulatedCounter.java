package edgegateway.testbed.simulation;

import edgegateway.testbed.fakes.FakeCounter;
import edgegateway.testbed.fakes.FakeCounter.Answer;
import edgegateway.testbed.fakes.FakeCounterSettings;
import edgegateway.testbed.network.NetworkPeer;
import java.util.function.Consumer;

/** The shared counter's machine. */
final class SimulatedCounter {
  private final VirtualClock timeline;
  private final NetworkPeer party;
  private final FakeCounter<Consumer<Double>> core;
  private long wakeAt = Long.MAX_VALUE;

  SimulatedCounter(VirtualClock timeline, NetworkPeer party, FakeCounterSettings terms) {
    this.timeline = timeline;
    this.party = party;
    core = new FakeCounter<>(terms, timeline.now());
  }

  NetworkPeer party() {
    return party;
  }

  /**
   * A call has come; {@code answer} hears the total, or null if it was turned away, at the counter.
   */
  void call(String name, double amount, long life, Consumer<Double> answer) {
    core.call(timeline.now(), answer, name, amount, life);
    look();
  }

  /** Something happens to its core. */
  void on(Consumer<FakeCounter<?>> what) {
    what.accept(core);
    look();
  }

  private void look() {
    for (Answer<Consumer<Double>> one = core.poll(timeline.now());
        one != null;
        one = core.poll(timeline.now())) {
      one.call().accept(one.total());
    }
    long next = core.next();
    if (next < wakeAt) {
      wakeAt = next;
      timeline.at(
          next,
          () -> {
            wakeAt = Long.MAX_VALUE;
            look();
          });
    }
  }
}

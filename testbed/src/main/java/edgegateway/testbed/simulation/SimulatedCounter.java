package edgegateway.testbed.simulation;

import edgegateway.testbed.fakes.FakeCounter;
import edgegateway.testbed.fakes.FakeCounter.Reply;
import edgegateway.testbed.fakes.FakeCounterSettings;
import edgegateway.testbed.network.NetworkPeer;
import java.util.function.Consumer;

/** The shared counter's machine. */
final class SimulatedCounter {
  private final VirtualClock clock;
  private final NetworkPeer peer;
  private final FakeCounter<Consumer<Double>> counter;
  private long nextPollNanos = Long.MAX_VALUE;

  SimulatedCounter(VirtualClock clock, NetworkPeer peer, FakeCounterSettings settings) {
    this.clock = clock;
    this.peer = peer;
    counter = new FakeCounter<>(settings, clock.now());
  }

  NetworkPeer peer() {
    return peer;
  }

  /**
   * A call has come; {@code answer} hears the total, or null if it was turned away, at the counter.
   */
  void call(String name, double amount, long lifetimeNanos, Consumer<Double> onTotal) {
    counter.call(clock.now(), onTotal, name, amount, lifetimeNanos);
    poll();
  }

  /** Something happens to its core. */
  void apply(Consumer<FakeCounter<?>> change) {
    change.accept(counter);
    poll();
  }

  private void poll() {
    for (Reply<Consumer<Double>> one = counter.poll(clock.now());
        one != null;
        one = counter.poll(clock.now())) {
      one.call().accept(one.total());
    }
    long nextNanos = counter.nextEventNanos();
    if (nextNanos < nextPollNanos) {
      nextPollNanos = nextNanos;
      clock.runAt(
          nextNanos,
          () -> {
            nextPollNanos = Long.MAX_VALUE;
            poll();
          });
    }
  }
}

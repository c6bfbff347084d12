package edgegateway.testbed.model;

import edgegateway.testbed.net.Party;
import edgegateway.testbed.stand.Counter;
import edgegateway.testbed.stand.Counter.Answer;
import edgegateway.testbed.stand.CounterTerms;
import java.util.function.Consumer;

/** The shared counter's machine. */
final class CounterHost {
  private final Timeline timeline;
  private final Party party;
  private final Counter<Consumer<Double>> core;
  private long wakeAt = Long.MAX_VALUE;

  CounterHost(Timeline timeline, Party party, CounterTerms terms) {
    this.timeline = timeline;
    this.party = party;
    core = new Counter<>(terms, timeline.now());
  }

  Party party() {
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
  void on(Consumer<Counter<?>> what) {
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

package edgegateway.testbed.model;

import edgegateway.testbed.net.Conditions;
import edgegateway.testbed.net.Faults;
import edgegateway.testbed.net.Party;
import edgegateway.testbed.net.Stream;
import java.util.SplittableRandom;

/**
 * The links of a modelled fleet: each message is a part of a stream of its own, with the lab's
 * faults on its way.
 */
final class Network {
  /** One way between two machines of a region. */
  private static final Conditions HOP = new Conditions(false, 0, 0, 200_000, 0, 0);

  private final Timeline timeline;
  private final Faults faults;
  private final SplittableRandom chance;

  Network(Timeline timeline, Faults faults, SplittableRandom chance) {
    this.timeline = timeline;
    this.faults = faults;
    this.chance = chance;
  }

  /** How long a message is under way where nothing is wrong, in nanoseconds. */
  static long hop() {
    return HOP.delay();
  }

  /** Lets something happen at the other end when word of it has come there. */
  void pass(Party from, Party to, Runnable arrives) {
    Stream<Runnable> stream = new Stream<>(chance);
    stream.enter(timeline.now(), arrives, 0, between(from, to));
    await(stream, from, to);
  }

  private void await(Stream<Runnable> stream, Party from, Party to) {
    timeline.at(
        stream.next(),
        () -> {
          Runnable arrived = stream.poll(timeline.now(), between(from, to));
          if (arrived != null) {
            arrived.run();
          } else {
            await(stream, from, to);
          }
        });
  }

  private Conditions between(Party from, Party to) {
    return faults.between(from, to).and(HOP);
  }
}

package edgegateway.testbed.simulation;

import edgegateway.testbed.network.ActiveFaults;
import edgegateway.testbed.network.LinkConditions;
import edgegateway.testbed.network.NetworkPeer;
import edgegateway.testbed.network.TcpStreamModel;
import java.util.SplittableRandom;

/**
 * The links of a modelled fleet: each message is a part of a stream of its own, with the lab's
 * faults on its way.
 */
final class SimulatedNetwork {
  /** One way between two machines of a region. */
  private static final LinkConditions HOP = new LinkConditions(false, 0, 0, 200_000, 0, 0);

  private final VirtualClock timeline;
  private final ActiveFaults faults;
  private final SplittableRandom chance;

  SimulatedNetwork(VirtualClock timeline, ActiveFaults faults, SplittableRandom chance) {
    this.timeline = timeline;
    this.faults = faults;
    this.chance = chance;
  }

  /** How long a message is under way where nothing is wrong, in nanoseconds. */
  static long hop() {
    return HOP.delay();
  }

  /** Lets something happen at the other end when word of it has come there. */
  void pass(NetworkPeer from, NetworkPeer to, Runnable arrives) {
    TcpStreamModel<Runnable> stream = new TcpStreamModel<>(chance);
    stream.enter(timeline.now(), arrives, 0, between(from, to));
    await(stream, from, to);
  }

  private void await(TcpStreamModel<Runnable> stream, NetworkPeer from, NetworkPeer to) {
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

  private LinkConditions between(NetworkPeer from, NetworkPeer to) {
    return faults.between(from, to).and(HOP);
  }
}

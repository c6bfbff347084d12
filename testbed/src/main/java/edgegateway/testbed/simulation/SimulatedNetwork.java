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
  private static final LinkConditions ONE_WAY = new LinkConditions(false, 0, 0, 200_000, 0, 0);

  private final VirtualClock clock;
  private final ActiveFaults faults;
  private final SplittableRandom random;

  SimulatedNetwork(VirtualClock timeline, ActiveFaults faults, SplittableRandom chance) {
    this.clock = timeline;
    this.faults = faults;
    this.random = chance;
  }

  /** How long a message is under way where nothing is wrong, in nanoseconds. */
  static long oneWayNanos() {
    return ONE_WAY.delay();
  }

  /** Lets something happen at the other end when word of it has come there. */
  void send(NetworkPeer from, NetworkPeer to, Runnable arrives) {
    TcpStreamModel<Runnable> stream = new TcpStreamModel<>(random);
    stream.enter(clock.now(), arrives, 0, conditionsBetween(from, to));
    await(stream, from, to);
  }

  private void await(TcpStreamModel<Runnable> stream, NetworkPeer from, NetworkPeer to) {
    clock.runAt(
        stream.next(),
        () -> {
          Runnable arrived = stream.poll(clock.now(), conditionsBetween(from, to));
          if (arrived != null) {
            arrived.run();
          } else {
            await(stream, from, to);
          }
        });
  }

  private LinkConditions conditionsBetween(NetworkPeer from, NetworkPeer to) {
    return faults.between(from, to).and(ONE_WAY);
  }
}

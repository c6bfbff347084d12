package edgegateway.testbed.scenario;

import edgegateway.testbed.checker.HistoryEvent;
import edgegateway.testbed.network.LinkConditions;
import edgegateway.testbed.network.NetworkPeer;
import edgegateway.testbed.network.PeerSelector;
import java.io.IOException;

/** What a scenario's faults act on: real processes, or a model of them. */
public interface FaultTarget {
  /** Its clock, in nanoseconds. */
  long now();

  /** Writes something into the history that the judge reads. */
  void seen(HistoryEvent event);

  /**
   * Writes down what there is to say of an archive server's life at its end.
   *
   * @param pressure the most of what it may be sent while cold that it was sent, as a share
   * @param fellAt when it was pushed over; {@link Long#MAX_VALUE} if it was not
   */
  default void lived(NetworkPeer server, double pressure, long fellAt) {
    seen(new HistoryEvent.WarmUpPressure(now(), server.name(), pressure));
    if (fellAt != Long.MAX_VALUE) {
      seen(new HistoryEvent.ServerOverloaded(fellAt, server.name()));
    }
  }

  /** From now on the way between these is so, in the one direction or in both. */
  void fault(
      String name, PeerSelector from, PeerSelector to, boolean both, LinkConditions conditions)
      throws IOException;

  /** Ends a fault. */
  void clear(String name) throws IOException;

  /**
   * Something happens to processes for {@code span} nanoseconds; what it keeps nodes from is
   * written down as lost.
   */
  void begin(Scenario.Trouble what, PeerSelector whom, long span)
      throws IOException, InterruptedException;

  /** That is mended; which archive servers began anew is written down. */
  void end(Scenario.Trouble what, PeerSelector whom) throws IOException, InterruptedException;

  /** Something happens to the counter. */
  void begin(Scenario.CounterTrouble what);

  /** That is mended. */
  void end(Scenario.CounterTrouble what);
}

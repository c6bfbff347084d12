package edgegateway.testbed.scenario;

import edgegateway.testbed.checker.HistoryEvent;
import edgegateway.testbed.fleet.Topology;
import edgegateway.testbed.network.NetworkPeer;
import edgegateway.testbed.network.PeerSelector;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/** A scenario's faults as steps in the order of their times. */
public final class FaultSchedule {
  /** How late discovery tells what changes, in nanoseconds. */
  public static final long TOLD = 500_000_000L;

  /**
   * A connection that came up before the end of a fault may be written to so much later, in
   * nanoseconds.
   */
  public static final long GRACE = 100_000_000L;

  private static final double SECOND = 1e9;

  /** What a step does. */
  public interface Change {
    /** Does it. */
    void make() throws IOException, InterruptedException;
  }

  /** A step: when, in nanoseconds from the first arrival; what, for people; and what it does. */
  public record Step(long at, String text, Change change) {}

  private FaultSchedule() {}

  /** The faults of a scenario for people. */
  static List<FaultInterval> marks(Scenario scenario) {
    return scenario.faults().stream()
        .map(fault -> new FaultInterval(fault.atS(), fault.untilS(), text(fault)))
        .toList();
  }

  private static String text(Scenario.Fault fault) {
    if (fault.what() != null) {
      return fault.what().name().toLowerCase(Locale.ROOT).replace('_', '-') + " " + fault.whom();
    }
    return fault.counter() != null
        ? "counter " + fault.counter().name().toLowerCase(Locale.ROOT)
        : fault.from()
            + (Boolean.TRUE.equals(fault.both()) ? " <-> " : " -> ")
            + fault.to()
            + " "
            + fault.conditions();
  }

  /** All steps of a scenario on a stage. */
  public static List<Step> of(Scenario scenario, FaultTarget stage) {
    Topology topology = scenario.topology().topology();
    List<Step> steps = new ArrayList<>();
    for (Scenario.Fault fault : scenario.faults()) {
      String name = "fault " + steps.size();
      String text = text(fault);
      long at = (long) (fault.atS() * SECOND);
      long until = (long) (fault.untilS() * SECOND);
      if (fault.what() != null) {
        PeerSelector whom = PeerSelector.parse(fault.whom());
        steps.add(new Step(at, text, () -> stage.begin(fault.what(), whom, until - at)));
        steps.add(new Step(until, "no more: " + text, () -> stage.end(fault.what(), whom)));
      } else if (fault.counter() != null) {
        steps.add(new Step(at, text, () -> stage.begin(fault.counter())));
        steps.add(new Step(until, "no more: " + text, () -> stage.end(fault.counter())));
      } else {
        PeerSelector from = PeerSelector.parse(fault.from());
        PeerSelector to = PeerSelector.parse(fault.to());
        boolean both = Boolean.TRUE.equals(fault.both());
        steps.add(
            new Step(
                at,
                text,
                () -> {
                  if (fault.conditions().cut()) {
                    cutOff(topology, stage, from, to, until - at);
                  }
                  stage.fault(name, from, to, both, fault.conditions());
                }));
        steps.add(new Step(until, "no more: " + text, () -> stage.clear(name)));
      }
    }
    steps.sort(Comparator.comparingLong(Step::at));
    return steps;
  }

  /** Nodes that the front does not reach, or does not hear, while a fault is on. */
  private static void cutOff(
      Topology topology, FaultTarget stage, PeerSelector from, PeerSelector to, long span) {
    for (NetworkPeer node : topology.nodes()) {
      boolean there = from.matches(topology.front()) && to.matches(node);
      boolean back = from.matches(node) && to.matches(topology.front());
      if (there || back) {
        stage.seen(
            new HistoryEvent.NodeCutOff(stage.now(), node.name(), stage.now() + span + GRACE));
      }
    }
  }
}

package edgegateway.testbed.network;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The faults that are on now, by name; what a link is like is what all that concern it make
 * together. One thread changes them, any reads.
 */
public final class ActiveFaults {
  private record Fault(
      PeerSelector from, PeerSelector to, boolean both, LinkConditions conditions) {}

  private volatile Map<String, Fault> on = Map.of();

  /**
   * From now on the way from these to those, and back if {@code both}, is so; a fault of the same
   * name ends.
   */
  public void set(
      String name, PeerSelector from, PeerSelector to, boolean both, LinkConditions conditions) {
    Map<String, Fault> next = new LinkedHashMap<>(on);
    next.put(name, new Fault(from, to, both, conditions));
    on = next;
  }

  /** Ends a fault; false if there is none of that name. */
  public boolean clear(String name) {
    Map<String, Fault> next = new LinkedHashMap<>(on);
    boolean was = next.remove(name) != null;
    on = next;
    return was;
  }

  /** How the way from one party to another is now. */
  public LinkConditions between(NetworkPeer from, NetworkPeer to) {
    LinkConditions all = LinkConditions.GOOD;
    for (Fault fault : on.values()) {
      if (fault.from.matches(from) && fault.to.matches(to)) {
        all = all.and(fault.conditions);
      }
      if (fault.both && fault.from.matches(to) && fault.to.matches(from)) {
        all = all.and(fault.conditions);
      }
    }
    return all;
  }
}

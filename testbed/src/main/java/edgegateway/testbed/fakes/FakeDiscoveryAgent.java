package edgegateway.testbed.fakes;

import edgegateway.testbed.fakes.DiscoveryMember.Phase;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Discovery's agent on one edge node's machine: changes reach it late and in their order, and it
 * tells at once what has reached it; while discovery is down it says nothing. Times are nanoseconds
 * of a clock that the caller keeps; not thread-safe.
 */
public final class FakeDiscoveryAgent {
  /** Readers that are further behind get the whole list. */
  private static final int MAX_RETAINED_CHANGES = 64;

  private record DelayedChange(long arrivalNanos, DiscoveryMessage change) {}

  private final TreeMap<String, DiscoveryMember> members = new TreeMap<>();
  private final ArrayDeque<DelayedChange> inTransit = new ArrayDeque<>();
  private final ArrayDeque<DiscoveryMessage> retainedChanges = new ArrayDeque<>();
  private long revision;
  private long oldestRetainedRevision;
  private boolean silenced;

  /** The last one asked for, and of which version: many readers ask for the same. */
  private DiscoveryMessage fullList;

  private DiscoveryMessage changesSince;

  private long changesSinceRevision;

  /** Begins with a whole list. */
  public FakeDiscoveryAgent(DiscoveryMessage initial) {
    revision = initial.revision();
    oldestRetainedRevision = revision;
    apply(initial.members());
  }

  private void apply(List<DiscoveryMember> changed) {
    for (DiscoveryMember one : changed) {
      if (one.phase() == Phase.GONE) {
        members.remove(one.id());
      } else {
        members.put(one.id(), one);
      }
    }
  }

  /**
   * Discovery sends a change, which takes {@code delay} to this machine but overtakes none before
   * it.
   */
  public void send(long nowNanos, DiscoveryMessage change, long delayNanos) {
    long arrivalNanos =
        inTransit.isEmpty()
            ? nowNanos + delayNanos
            : Math.max(inTransit.getLast().arrivalNanos, nowNanos + delayNanos);
    inTransit.add(new DelayedChange(arrivalNanos, change));
  }

  /**
   * Whether discovery is down: nothing is said until it is up again; what was sent meanwhile has
   * not been lost.
   */
  public void silenced(boolean down) {
    silenced = down;
  }

  /** Whether it says nothing now. */
  public boolean silenced() {
    return silenced;
  }

  /** When the next change reaches it; {@link Long#MAX_VALUE} if none is under way. */
  public long nextArrivalNanos() {
    return inTransit.isEmpty() ? Long.MAX_VALUE : inTransit.peek().arrivalNanos;
  }

  /** What has reached it by now is on its list, unless discovery is down. */
  public void advanceTo(long nowNanos) {
    while (!silenced && !inTransit.isEmpty() && inTransit.peek().arrivalNanos <= nowNanos) {
      DiscoveryMessage change = inTransit.poll().change;
      apply(change.members());
      revision = change.revision();
      fullList = null;
      changesSince = null;
      retainedChanges.add(change);
      if (retainedChanges.size() > MAX_RETAINED_CHANGES) {
        oldestRetainedRevision = retainedChanges.poll().revision();
      }
    }
  }

  /** The version of its list. */
  public long revision() {
    return revision;
  }

  /** The whole list as it stands. */
  public DiscoveryMessage fullList() {
    if (fullList == null) {
      fullList = new DiscoveryMessage(revision, true, List.copyOf(members.values()));
    }
    return fullList;
  }

  /**
   * What a reader of a version misses: the changes since, or the whole list if they are not kept or
   * the version is unknown.
   */
  public DiscoveryMessage changesSince(long fromRevision) {
    if (fromRevision < oldestRetainedRevision || fromRevision > revision) {
      return fullList();
    }
    if (changesSince == null || changesSinceRevision != fromRevision) {
      changesSince = changes(fromRevision);
      changesSinceRevision = fromRevision;
    }
    return changesSince;
  }

  private DiscoveryMessage changes(long fromRevision) {
    Map<String, DiscoveryMember> changed = new LinkedHashMap<>();
    for (DiscoveryMessage change : retainedChanges) {
      if (change.revision() > fromRevision) {
        change.members().forEach(member -> changed.put(member.id(), member));
      }
    }
    return new DiscoveryMessage(revision, false, new ArrayList<>(changed.values()));
  }
}

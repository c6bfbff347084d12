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
  private static final int KEPT = 64;

  private record Late(long at, DiscoveryMessage change) {}

  private final TreeMap<String, DiscoveryMember> list = new TreeMap<>();
  private final ArrayDeque<Late> underWay = new ArrayDeque<>();
  private final ArrayDeque<DiscoveryMessage> kept = new ArrayDeque<>();
  private long revision;
  private long forgotten;
  private boolean silent;

  /** The last one asked for, and of which version: many readers ask for the same. */
  private DiscoveryMessage whole;

  private DiscoveryMessage since;

  private long sinceVersion;

  /** Begins with a whole list. */
  public FakeDiscoveryAgent(DiscoveryMessage begin) {
    revision = begin.revision();
    forgotten = revision;
    apply(begin.members());
  }

  private void apply(List<DiscoveryMember> members) {
    for (DiscoveryMember one : members) {
      if (one.phase() == Phase.GONE) {
        list.remove(one.id());
      } else {
        list.put(one.id(), one);
      }
    }
  }

  /**
   * Discovery sends a change, which takes {@code delay} to this machine but overtakes none before
   * it.
   */
  public void send(long now, DiscoveryMessage change, long delay) {
    long at = underWay.isEmpty() ? now + delay : Math.max(underWay.getLast().at, now + delay);
    underWay.add(new Late(at, change));
  }

  /**
   * Whether discovery is down: nothing is said until it is up again; what was sent meanwhile has
   * not been lost.
   */
  public void silent(boolean down) {
    silent = down;
  }

  /** Whether it says nothing now. */
  public boolean silent() {
    return silent;
  }

  /** When the next change reaches it; {@link Long#MAX_VALUE} if none is under way. */
  public long next() {
    return underWay.isEmpty() ? Long.MAX_VALUE : underWay.peek().at;
  }

  /** What has reached it by now is on its list, unless discovery is down. */
  public void advance(long now) {
    while (!silent && !underWay.isEmpty() && underWay.peek().at <= now) {
      DiscoveryMessage change = underWay.poll().change;
      apply(change.members());
      revision = change.revision();
      whole = null;
      since = null;
      kept.add(change);
      if (kept.size() > KEPT) {
        forgotten = kept.poll().revision();
      }
    }
  }

  /** The version of its list. */
  public long revision() {
    return revision;
  }

  /** The whole list as it stands. */
  public DiscoveryMessage whole() {
    if (whole == null) {
      whole = new DiscoveryMessage(revision, true, List.copyOf(list.values()));
    }
    return whole;
  }

  /**
   * What a reader of a version misses: the changes since, or the whole list if they are not kept or
   * the version is unknown.
   */
  public DiscoveryMessage since(long version) {
    if (version < forgotten || version > revision) {
      return whole();
    }
    if (since == null || sinceVersion != version) {
      since = changes(version);
      sinceVersion = version;
    }
    return since;
  }

  private DiscoveryMessage changes(long version) {
    Map<String, DiscoveryMember> changed = new LinkedHashMap<>();
    for (DiscoveryMessage one : kept) {
      if (one.revision() > version) {
        one.members().forEach(member -> changed.put(member.id(), member));
      }
    }
    return new DiscoveryMessage(revision, false, new ArrayList<>(changed.values()));
  }
}

package edgegateway.testbed.stand;

import edgegateway.testbed.stand.Member.Phase;
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
public final class Agent {
  /** Readers that are further behind get the whole list. */
  private static final int KEPT = 64;

  private record Late(long at, Roll change) {}

  private final TreeMap<String, Member> list = new TreeMap<>();
  private final ArrayDeque<Late> underWay = new ArrayDeque<>();
  private final ArrayDeque<Roll> kept = new ArrayDeque<>();
  private long revision;
  private long forgotten;
  private boolean silent;

  /** The last one asked for, and of which version: many readers ask for the same. */
  private Roll whole;

  private Roll since;

  private long sinceVersion;

  /** Begins with a whole list. */
  public Agent(Roll begin) {
    revision = begin.revision();
    forgotten = revision;
    apply(begin.members());
  }

  private void apply(List<Member> members) {
    for (Member one : members) {
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
  public void send(long now, Roll change, long delay) {
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
      Roll change = underWay.poll().change;
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
  public Roll whole() {
    if (whole == null) {
      whole = new Roll(revision, true, List.copyOf(list.values()));
    }
    return whole;
  }

  /**
   * What a reader of a version misses: the changes since, or the whole list if they are not kept or
   * the version is unknown.
   */
  public Roll since(long version) {
    if (version < forgotten || version > revision) {
      return whole();
    }
    if (since == null || sinceVersion != version) {
      since = changes(version);
      sinceVersion = version;
    }
    return since;
  }

  private Roll changes(long version) {
    Map<String, Member> changed = new LinkedHashMap<>();
    for (Roll one : kept) {
      if (one.revision() > version) {
        one.members().forEach(member -> changed.put(member.id(), member));
      }
    }
    return new Roll(revision, false, new ArrayList<>(changed.values()));
  }
}

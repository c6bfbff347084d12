package edgegateway.node.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * When discovery is asked anew, and which answer is followed. It does no I/O; its clock is given to
 * it. Times are nanoseconds of one clock.
 *
 * <p>A change counts as told 6 s after discovery had it and could be reached, whatever failed
 * before (standing test). So no wait is longer than {@link #ANSWER} while nothing is heard: a watch
 * that hangs is not waited for, another is opened beside it, and the first that speaks is followed.
 * A watch that falls silent is replaced after {@link #SILENCE}. Both together, and a second for a
 * loop that stands still, stay below the 6 s.
 */
public final class WatchScheduler {
  private static final long MS = 1_000_000L;

  /** A sound watch says something each 2 s. */
  public static final long SILENCE = 3_000 * MS;

  /** So long after a watch was opened that has not spoken another is opened beside it. */
  public static final long ANSWER = 1_000 * MS;

  /**
   * Wait after a watch that ended, doubled by each further one; a part of it by chance, or a fleet
   * asks at once.
   */
  static final long FIRST_BACKOFF = 100 * MS;

  static final long MOST_BACKOFF = ANSWER;

  /** How often {@link #look} is to be called. */
  public static final long LOOK = 50 * MS;

  /** Open at once at the most; it bounds the descriptors. */
  public static final int MOST = 3;

  /**
   * Lists that are older than the one held are taken after so long with none but such: discovery
   * has begun anew.
   */
  static final long OUTDATED = 30_000 * MS;

  /** What watches are made of. */
  public interface Host {
    /** Opens a watch; what becomes of it is told later, never from within this call. */
    void open(Watch watch);

    /** Closes it: nothing more of it is taken. */
    void close(Watch watch);
  }

  /** One call for changes: open until it is closed by either side, which is its end. */
  public static final class Watch {
    private final int place;
    private boolean open = true;
    private boolean spoke;
    private long heardAt;

    private Watch(int place) {
      this.place = place;
    }

    /** Whether what it says is still followed. */
    public boolean isOpen() {
      return open;
    }
  }

  private final Host host;
  private final SplittableRandom random;
  private final List<Watch> open = new ArrayList<>();
  private int place;
  private long revision;
  private long backoff = FIRST_BACKOFF;
  private long askAt;

  /** Since when nothing but older lists came. */
  private long outdatedSince = Long.MAX_VALUE;

  /** None yet; {@code seed} is its only source of chance. */
  public WatchScheduler(Host host, long seed) {
    this.host = host;
    random = new SplittableRandom(seed);
  }

  /** Begins to ask, from a list that is held already. */
  public void start(long now, long known) {
    revision = known;
    askAt = now;
    look(now);
  }

  /** The revision of the list that is held. */
  public long revision() {
    return revision;
  }

  /** Whether a watch at the present address is heard. */
  public boolean sound(long now) {
    return open.stream()
        .anyMatch(watch -> watch.place == place && watch.spoke && now - watch.heardAt < SILENCE);
  }

  /** Opens a watch if one is due. */
  public void look(long now) {
    if (now < askAt || sound(now)) {
      return;
    }
    if (open.size() >= MOST) {
      close(open.get(0));
    }
    Watch watch = new Watch(place);
    open.add(watch);
    // From three quarters of it on: gateways that lost discovery together do not ask together for
    // ever.
    askAt = now + ANSWER - random.nextLong(ANSWER / 4);
    host.open(watch);
  }

  /**
   * Discovery is at another address now; watches at the old one are heard until the new one speaks.
   */
  public void move(long now) {
    place++;
    backoff = FIRST_BACKOFF;
    askAt = now;
    look(now);
  }

  /** A watch said something, if only that it is there; false if it is followed no longer. */
  public boolean heard(long now, Watch watch) {
    if (!watch.open) {
      return false;
    }
    watch.spoke = true;
    watch.heardAt = now;
    outdatedSince = Long.MAX_VALUE;
    if (watch.place == place) {
      backoff = FIRST_BACKOFF;
      List.copyOf(open).stream().filter(other -> other != watch).forEach(this::close);
    }
    return true;
  }

  /**
   * A watch told a list, or changes to it; whether that is to be taken. What is older than the list
   * that is held would bring back servers that leave: a watch that begins so is left, for an agent
   * that knows more.
   */
  public boolean takes(long now, Watch watch, long told, boolean whole) {
    if (!watch.open) {
      return false;
    }
    boolean old = told < revision && !(whole && now - outdatedSince >= OUTDATED);
    if (old && !watch.spoke) {
      outdatedSince = Math.min(outdatedSince, now);
      close(watch);
      askLater(now);
      return false;
    }
    heard(now, watch);
    if (!old) {
      revision = told;
    }
    return !old;
  }

  /** A watch's connection ended, or could not be made. */
  public void ended(long now, Watch watch) {
    if (watch.open) {
      watch.open = false;
      open.remove(watch);
      askLater(now);
    }
  }

  private void askLater(long now) {
    long later = now + backoff / 2 + random.nextLong(backoff / 2);
    askAt = askAt > now ? Math.min(askAt, later) : later;
    backoff = Math.min(MOST_BACKOFF, 2 * backoff);
  }

  private void close(Watch watch) {
    watch.open = false;
    open.remove(watch);
    host.close(watch);
  }
}

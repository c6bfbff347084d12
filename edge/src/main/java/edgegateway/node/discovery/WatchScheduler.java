package edgegateway.node.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Decides when a new watch is opened and which watch's events are accepted. Does no I/O; the
 * current time is passed in, in nanoseconds. Not thread-safe.
 *
 * <p>A node must know a change within 6 s after discovery has it and is reachable, whatever failed
 * before. Therefore, while no watch is responsive, no wait is longer than {@link
 * #WATCH_RESPONSE_TIMEOUT_NANOS}: if a watch has no response by then, another is opened beside it,
 * and the first one to respond is kept. A watch without events is replaced after {@link
 * #WATCH_IDLE_TIMEOUT_NANOS}. The sum of both timeouts, plus 1 s for an event-loop stall, is below
 * 6 s.
 */
public final class WatchScheduler {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** A watch without an event for this time is unresponsive; discovery sends one every 2 s. */
  public static final long WATCH_IDLE_TIMEOUT_NANOS = 3_000 * NANOS_PER_MILLI;

  /** After this time without a response, another watch is opened beside the first. */
  public static final long WATCH_RESPONSE_TIMEOUT_NANOS = 1_000 * NANOS_PER_MILLI;

  /**
   * A watch without a byte for this time has stopped; until then its response may only be slow. A
   * list counts as known 6 s after it was asked for.
   */
  static final long WATCH_SILENCE_TIMEOUT_NANOS = 5_000 * NANOS_PER_MILLI;

  /** Interval at which {@link #openWatchIfDue} must be called. */
  public static final long CHECK_INTERVAL_NANOS = 50 * NANOS_PER_MILLI;

  /** Maximum number of open watches; each uses a file descriptor. */
  public static final int MAX_OPEN_WATCHES = 3;

  /**
   * Backoff after the first watch that ends; doubled for each further one until an event arrives or
   * the address changes. Half of each backoff is random.
   */
  static final long INITIAL_BACKOFF_NANOS = 100 * NANOS_PER_MILLI;

  static final long MAX_BACKOFF_NANOS = WATCH_RESPONSE_TIMEOUT_NANOS;

  /**
   * If only lists older than the current one were received for this time, an older complete list is
   * accepted: discovery has lost its revision number and has restarted the numbering.
   */
  static final long STALE_LIST_TIMEOUT_NANOS = 30_000 * NANOS_PER_MILLI;

  /**
   * The response timeout is shortened by a random part of up to 1/4, so that nodes that lost
   * discovery at the same time don't keep opening watches at the same time.
   */
  private static final int RESPONSE_JITTER_DIVISOR = 4;

  /** One request for changes. Once closed, by either side, it is never reopened. */
  public static final class Watch {
    private final int addressGeneration;
    private boolean open = true;
    private boolean responded;
    private long lastEventAtNanos;

    /** Whether a byte was received. */
    private boolean begun;

    /** When a byte was last received, or the watch was opened. */
    private long lastHeardAtNanos;

    private Watch(int addressGeneration, long openedAtNanos) {
      this.addressGeneration = addressGeneration;
      lastHeardAtNanos = openedAtNanos;
    }

    /** Whether events of this watch are still accepted. */
    public boolean isOpen() {
      return open;
    }

    private void recordEvent(long nowNanos) {
      responded = true;
      lastEventAtNanos = nowNanos;
      recordBytes(nowNanos);
    }

    private void recordBytes(long nowNanos) {
      begun = true;
      lastHeardAtNanos = nowNanos;
    }

    private boolean isResponsive(long nowNanos) {
      return responded && nowNanos - lastEventAtNanos < WATCH_IDLE_TIMEOUT_NANOS;
    }

    private void markClosed() {
      open = false;
    }
  }

  private final WatchTransport transport;
  private final SplittableRandom random;

  /** In the order in which they were opened. */
  private final List<Watch> openWatches = new ArrayList<>();

  /** Incremented by each change of discovery's address. */
  private int addressGeneration;

  private long revision;
  private long backoffNanos = INITIAL_BACKOFF_NANOS;
  private long nextWatchAtNanos;

  /**
   * When the first list older than the current one was received, if nothing else was received
   * since; otherwise {@link Long#MAX_VALUE}.
   */
  private long staleSinceNanos = Long.MAX_VALUE;

  /** Opens no watch before {@link #start}. All randomness derives from the seed. */
  public WatchScheduler(WatchTransport transport, long seed) {
    this.transport = transport;
    random = new SplittableRandom(seed);
  }

  /**
   * Opens the first watch.
   *
   * @param currentRevision revision of the list that the node has already
   */
  public void start(long nowNanos, long currentRevision) {
    revision = currentRevision;
    nextWatchAtNanos = nowNanos;
    openWatchIfDue(nowNanos);
  }

  /** Revision of the node's current list. */
  public long revision() {
    return revision;
  }

  /** Whether a watch at the current address had an event within the idle timeout. */
  public boolean hasResponsiveWatch(long nowNanos) {
    for (Watch watch : openWatches) {
      if (watch.addressGeneration == addressGeneration && watch.isResponsive(nowNanos)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Opens a watch if none is responsive and the wait after the last one is over. If {@link
   * #MAX_OPEN_WATCHES} are open already, one is closed: the oldest if it has stopped or is at an
   * earlier address, otherwise the newest of which no byte was received.
   */
  public void openWatchIfDue(long nowNanos) {
    if (nowNanos < nextWatchAtNanos || hasResponsiveWatch(nowNanos)) {
      return;
    }
    if (openWatches.size() >= MAX_OPEN_WATCHES) {
      close(watchToReplace(nowNanos));
    }
    Watch watch = new Watch(addressGeneration, nowNanos);
    openWatches.add(watch);
    long jitterNanos = random.nextLong(WATCH_RESPONSE_TIMEOUT_NANOS / RESPONSE_JITTER_DIVISOR);
    nextWatchAtNanos = nowNanos + WATCH_RESPONSE_TIMEOUT_NANOS - jitterNanos;
    transport.open(watch);
  }

  private Watch watchToReplace(long nowNanos) {
    Watch oldest = openWatches.get(0);
    if (!mayStillRespond(oldest, nowNanos)) {
      return oldest;
    }
    int newest = openWatches.size() - 1;
    for (int i = newest; i > 0; i--) {
      if (!openWatches.get(i).begun) {
        return openWatches.get(i);
      }
    }
    return openWatches.get(newest);
  }

  private boolean mayStillRespond(Watch watch, long nowNanos) {
    return watch.addressGeneration == addressGeneration
        && nowNanos - watch.lastHeardAtNanos < WATCH_SILENCE_TIMEOUT_NANOS;
  }

  /** A part of a watch's response was received, which need not complete an event. */
  public void bytesReceived(long nowNanos, Watch watch) {
    watch.recordBytes(nowNanos);
  }

  /**
   * Discovery's address has changed: opens a watch at the new address. Events of watches at the old
   * address are accepted until the new address responds.
   */
  public void addressChanged(long nowNanos) {
    addressGeneration++;
    backoffNanos = INITIAL_BACKOFF_NANOS;
    nextWatchAtNanos = nowNanos;
    openWatchIfDue(nowNanos);
  }

  /**
   * A watch had an event, which may be a keep-alive. If the watch is at the current address, all
   * others are closed.
   *
   * @return false if the watch is closed, so that its event must be ignored
   */
  public boolean eventReceived(long nowNanos, Watch watch) {
    if (!watch.isOpen()) {
      return false;
    }
    watch.recordEvent(nowNanos);
    staleSinceNanos = Long.MAX_VALUE;
    if (watch.addressGeneration == addressGeneration) {
      backoffNanos = INITIAL_BACKOFF_NANOS;
      closeAllExcept(watch);
    }
    return true;
  }

  /**
   * A watch delivered a list or changes. Those with a lower revision than the current list are not
   * applied, because they would bring back departed endpoints. A watch whose first event is such a
   * list is closed, since the next watch may reach a discovery instance with a newer list.
   *
   * @param complete whether it is a complete list rather than changes
   * @return whether the list or changes must be applied
   */
  public boolean listReceived(long nowNanos, Watch watch, long listRevision, boolean complete) {
    if (!watch.isOpen()) {
      return false;
    }
    boolean revisionsRestarted = complete && nowNanos - staleSinceNanos >= STALE_LIST_TIMEOUT_NANOS;
    boolean stale = listRevision < revision && !revisionsRestarted;
    if (stale && !watch.responded) {
      staleSinceNanos = Math.min(staleSinceNanos, nowNanos);
      close(watch);
      backOff(nowNanos);
      return false;
    }
    eventReceived(nowNanos, watch);
    if (!stale) {
      revision = listRevision;
    }
    return !stale;
  }

  /** A watch's connection was closed or could not be opened. */
  public void watchClosed(long nowNanos, Watch watch) {
    if (watch.isOpen()) {
      watch.markClosed();
      openWatches.remove(watch);
      backOff(nowNanos);
    }
  }

  private void backOff(long nowNanos) {
    long halfBackoffNanos = backoffNanos / 2;
    long retryAtNanos = nowNanos + halfBackoffNanos + random.nextLong(halfBackoffNanos);
    boolean alreadyScheduled = nextWatchAtNanos > nowNanos;
    nextWatchAtNanos = alreadyScheduled ? Math.min(nextWatchAtNanos, retryAtNanos) : retryAtNanos;
    backoffNanos = Math.min(MAX_BACKOFF_NANOS, 2 * backoffNanos);
  }

  private void closeAllExcept(Watch kept) {
    for (Watch other : List.copyOf(openWatches)) {
      if (other != kept) {
        close(other);
      }
    }
  }

  private void close(Watch watch) {
    watch.markClosed();
    openWatches.remove(watch);
    transport.close(watch);
  }
}

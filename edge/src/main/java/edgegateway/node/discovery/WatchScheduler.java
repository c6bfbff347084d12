package edgegateway.node.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Decides when discovery is polled with a new watch, and which watch is followed. It does no I/O;
 * its clock is given to it, in nanoseconds. For one thread.
 *
 * <p>A change must be known 6 s after discovery had it and could be reached, whatever failed
 * before. So no wait is longer than {@link #WATCH_RESPONSE_TIMEOUT_NANOS} while discovery is
 * silent: a watch without a response is not waited for, another is opened beside it, and the first
 * that responds is followed. A watch that falls silent is replaced after {@link
 * #WATCH_SILENCE_TIMEOUT_NANOS}. Both together, and a second for an event-loop stall, stay below
 * the 6 s.
 */
public final class WatchScheduler {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** A responsive watch has an event each 2 s. */
  public static final long WATCH_SILENCE_TIMEOUT_NANOS = 3_000 * NANOS_PER_MILLI;

  /** After this time without a response another watch is opened beside the first. */
  public static final long WATCH_RESPONSE_TIMEOUT_NANOS = 1_000 * NANOS_PER_MILLI;

  /** How often {@link #poll} is to be called. */
  public static final long POLL_INTERVAL_NANOS = 50 * NANOS_PER_MILLI;

  /** Open at once at most; each takes a file descriptor. */
  public static final int MAX_OPEN_WATCHES = 3;

  /** Wait after a watch ended, doubled by each further one and half of it random. */
  static final long INITIAL_BACKOFF_NANOS = 100 * NANOS_PER_MILLI;

  static final long MAX_BACKOFF_NANOS = WATCH_RESPONSE_TIMEOUT_NANOS;

  /**
   * After this time with nothing but lists older than the one held, an older list is accepted:
   * discovery has lost its revisions and numbers them anew.
   */
  static final long STALE_LIST_TIMEOUT_NANOS = 30_000 * NANOS_PER_MILLI;

  /** The part of the response timeout that is random, so that nodes don't poll together. */
  private static final int RESPONSE_JITTER_DIVISOR = 4;

  /** One request for changes: open until either side closes it, and never reopened. */
  public static final class Watch {
    private final int addressGeneration;
    private boolean open = true;
    private boolean responded;
    private long lastEventAtNanos;

    private Watch(int addressGeneration) {
      this.addressGeneration = addressGeneration;
    }

    /** Whether its events are still accepted. */
    public boolean isOpen() {
      return open;
    }

    private void eventReceived(long nowNanos) {
      responded = true;
      lastEventAtNanos = nowNanos;
    }

    private boolean isResponsive(long nowNanos) {
      return responded && nowNanos - lastEventAtNanos < WATCH_SILENCE_TIMEOUT_NANOS;
    }

    private void markClosed() {
      open = false;
    }
  }

  private final WatchTransport transport;
  private final SplittableRandom random;

  /** Oldest first. */
  private final List<Watch> openWatches = new ArrayList<>();

  /** How often discovery's address has changed. */
  private int addressGeneration;

  private long revision;
  private long backoffNanos = INITIAL_BACKOFF_NANOS;
  private long nextWatchAtNanos;

  /** Since when nothing but older lists came; {@link Long#MAX_VALUE} if that is not so. */
  private long staleSinceNanos = Long.MAX_VALUE;

  /** No watch is open yet; {@code seed} is the only source of randomness. */
  public WatchScheduler(WatchTransport transport, long seed) {
    this.transport = transport;
    random = new SplittableRandom(seed);
  }

  /** Opens the first watch; a list of this revision is held already. */
  public void start(long nowNanos, long heldRevision) {
    revision = heldRevision;
    nextWatchAtNanos = nowNanos;
    poll(nowNanos);
  }

  /** The revision of the list that is held. */
  public long revision() {
    return revision;
  }

  /** Whether a watch at the present address had an event lately. */
  public boolean isResponsive(long nowNanos) {
    for (Watch watch : openWatches) {
      if (watch.addressGeneration == addressGeneration && watch.isResponsive(nowNanos)) {
        return true;
      }
    }
    return false;
  }

  /** Opens a watch if one is due. */
  public void poll(long nowNanos) {
    if (nowNanos < nextWatchAtNanos || isResponsive(nowNanos)) {
      return;
    }
    if (openWatches.size() >= MAX_OPEN_WATCHES) {
      close(openWatches.get(0));
    }
    Watch watch = new Watch(addressGeneration);
    openWatches.add(watch);
    // Nodes that lost discovery together must not poll together for ever.
    long jitterNanos = random.nextLong(WATCH_RESPONSE_TIMEOUT_NANOS / RESPONSE_JITTER_DIVISOR);
    nextWatchAtNanos = nowNanos + WATCH_RESPONSE_TIMEOUT_NANOS - jitterNanos;
    transport.open(watch);
  }

  /**
   * Discovery has another address now; watches at the old one are accepted until the new one
   * responds.
   */
  public void addressChanged(long nowNanos) {
    addressGeneration++;
    backoffNanos = INITIAL_BACKOFF_NANOS;
    nextWatchAtNanos = nowNanos;
    poll(nowNanos);
  }

  /**
   * A watch had an event, if only a keep-alive. At the present address it is followed from now on,
   * and all others are closed.
   *
   * @return false if the watch is closed and its event must be ignored
   */
  public boolean eventReceived(long nowNanos, Watch watch) {
    if (!watch.isOpen()) {
      return false;
    }
    watch.eventReceived(nowNanos);
    staleSinceNanos = Long.MAX_VALUE;
    if (watch.addressGeneration == addressGeneration) {
      backoffNanos = INITIAL_BACKOFF_NANOS;
      closeAllBut(watch);
    }
    return true;
  }

  /**
   * A watch delivered a list, or changes. What is older than the list that is held would bring back
   * endpoints that leave: a watch that begins so is closed, for an agent that knows more.
   *
   * @param complete whether it is a complete list
   * @return whether it is to be applied
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

  /** A watch's connection ended, or could not be opened. */
  public void watchClosed(long nowNanos, Watch watch) {
    if (watch.isOpen()) {
      watch.markClosed();
      openWatches.remove(watch);
      backOff(nowNanos);
    }
  }

  private void backOff(long nowNanos) {
    long half = backoffNanos / 2;
    long retryAtNanos = nowNanos + half + random.nextLong(half);
    boolean alreadyWaiting = nextWatchAtNanos > nowNanos;
    nextWatchAtNanos = alreadyWaiting ? Math.min(nextWatchAtNanos, retryAtNanos) : retryAtNanos;
    backoffNanos = Math.min(MAX_BACKOFF_NANOS, 2 * backoffNanos);
  }

  private void closeAllBut(Watch followed) {
    for (Watch other : List.copyOf(openWatches)) {
      if (other != followed) {
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

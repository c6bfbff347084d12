package edgegateway.node.connections;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Which connection to an archive server an attempt goes by: one that is idle, one that is about to
 * be free, a new one, or none. It does no I/O; its clock is given to it. Times are nanoseconds of
 * one clock.
 *
 * <p>What each edge node does alone adds up over a fleet: an archive server holds few connections,
 * and each new one costs it work. So connections are opened for those that wait and no more, one at
 * a time to an archive server that is cold or failing, and later and later to one that refuses
 * them.
 */
public final class UpstreamConnectionTable {
  private static final long MS = 1_000_000L;

  /** Connections being made to one archive server at once. */
  private static final int AT_ONCE = 4;

  /**
   * Back-off after a connection that failed, doubled by each further one; half of it is by chance.
   */
  private static final long FIRST_BACKOFF = 20 * MS;

  private static final long MOST_BACKOFF = 1_000 * MS;

  /** Attempts that wait at one archive server for each connection in use or being made. */
  private static final int MOST_WAITING = 4;

  /**
   * How long an archive server is held to have no room for more than it took, and then for one more
   * each time.
   */
  private static final long LEARNED = 2_000 * MS;

  /** Weight of a new span in an average. */
  private static final double ALPHA = 0.1;

  /** An attempt that wants a connection; told at once, from within an event. */
  public interface ConnectionWaiter {
    /** Goes by this one, until it is answered or lost. */
    void use(UpstreamConnection link);

    /** There is none for it; {@code own} if that is not the archive server's fault. */
    void none(boolean own);
  }

  /** What the connections are made of. */
  public interface Host {
    /**
     * Begins to connect; {@link UpstreamConnection#connected} or {@link UpstreamConnection#failed}
     * follows, never from within this call.
     */
    void connect(UpstreamConnection link);

    /** {@link Upstream#look} is wanted for this archive server after a span. */
    void later(Upstream target, long span);
  }

  /** Why a connection could not be made. */
  public enum Failure {
    /** The archive server, or its machine, said no. */
    REFUSED,
    /** Nothing came back. */
    SILENT,
    /** No descriptor was left for it: not the archive server's fault. */
    OWN
  }

  private enum State {
    DIALING,
    IDLE,
    BUSY,
    CLOSED
  }

  private final Host host;
  private final ConnectionMetrics counts;
  private final SplittableRandom random;

  /**
   * All idle connections, the one that has been so longest first: thousands of archive servers have
   * none.
   */
  private final Set<UpstreamConnection> resting = new LinkedHashSet<>();

  private final long keep;
  private int most = Integer.MAX_VALUE;
  private int perTarget = Integer.MAX_VALUE;
  private int open;

  /** What a connect takes, and a first answer beyond what a later one does, in nanoseconds. */
  private double connectSpan = MS;

  private double firstSpan;
  private double laterSpan;

  /**
   * {@code keepAlive} is the span after which an archive server itself closes an idle connection.
   */
  public UpstreamConnectionTable(Host host, ConnectionMetrics counts, long seed, long keepAlive) {
    this.host = host;
    this.counts = counts;
    random = new SplittableRandom(seed);
    keep = kept(keepAlive);
  }

  /**
   * For how long an idle connection is kept whose other side closes it after {@code keepAlive};
   * both in nanoseconds.
   */
  public static long kept(long keepAlive) {
    // A request written to a connection that the other side closes ends as a reset: stay well ahead
    // of it, by more
    // than its answer was on its way here.
    return Math.max(keepAlive / 2, keepAlive - Math.max(1_000 * MS, keepAlive / 10));
  }

  /** Follows a new budget; idle connections beyond it go. */
  public void bound(DescriptorBudget budget) {
    most = budget.archiveServers();
    perTarget = budget.perArchiveServer();
    while (open > most && closeOldestIdle(null)) {
      // One after the other.
    }
  }

  /** An archive server that was listed: one run of it at one address. */
  public Upstream add(Object address, boolean cold) {
    return new Upstream(address, cold);
  }

  /**
   * Closes the connection that has been idle longest, of another than this one; false if there is
   * none.
   */
  private boolean closeOldestIdle(Upstream but) {
    for (UpstreamConnection link : resting) {
      if (link.target != but) {
        link.end();
        return true;
      }
    }
    return false;
  }

  /** Closes what has been idle for as long as it may. */
  public void sweep(long now) {
    while (!resting.isEmpty() && now - resting.iterator().next().since > keep) {
      resting.iterator().next().end();
    }
  }

  private static double mean(double mean, long span) {
    return mean == 0 ? span : mean + ALPHA * (span - mean);
  }

  /**
   * One run of an archive server at one address, with the connections to it and who waits for one.
   */
  public final class Upstream {
    private final Object address;

    /** Nothing is known of it but that it has just begun; an answer ends that. */
    private boolean cold;

    /** The one used last comes first. */
    private final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>();

    private final Set<UpstreamConnection> busy = new LinkedHashSet<>();
    private final ArrayDeque<ConnectionWaiter> waiting = new ArrayDeque<>();
    private int dialing;
    private int failures;
    private int cap = Integer.MAX_VALUE;
    private long dialAt = Long.MIN_VALUE;
    private long capAt;
    private long heardAt = Long.MIN_VALUE;

    /** An attempt here timed out, and nothing was heard since it was sent. */
    private boolean distrusted;

    private boolean retired;
    private boolean asked;

    private double usual;

    private Upstream(Object address, boolean cold) {
      this.address = address;
      this.cold = cold;
    }

    /** Where it is. */
    public Object address() {
      return address;
    }

    /** Whether it leaves, is gone, has moved or has begun anew. */
    public boolean retired() {
      return retired;
    }

    /** Connections that are open or being made. */
    public int open() {
      return idle.size() + busy.size() + dialing;
    }

    /**
     * Gives an attempt a connection, now or as soon as there is one, or tells it that there will be
     * none.
     */
    public void want(long now, ConnectionWaiter attempt) {
      UpstreamConnection ready = distrusted ? null : idle.peek();
      if (ready != null) {
        ready.use(now, attempt);
      } else if (retired) {
        attempt.none(true);
      } else {
        waiting.add(attempt);
        look(now);
      }
    }

    /** The attempt wants none any more; false if it was not waiting. */
    public boolean cancel(ConnectionWaiter attempt) {
      return waiting.remove(attempt);
    }

    /** Opens connections for those that wait, as far as no other will be free for them sooner. */
    public void look(long now) {
      asked = false;
      while (!waiting.isEmpty()) {
        int soon = distrusted ? 0 : soonFree(now);
        if (waiting.size() <= dialing + soon) {
          if (soon > 0 && !asked) {
            // It may not be free then after all.
            asked = true;
            host.later(this, Math.max(MS, (long) handshake()));
          }
          return;
        }
        if (!dial(now)) {
          break;
        }
      }
      if (dialing == 0 && (distrusted || busy.isEmpty())) {
        giveUp(now, open >= most);
      }
      while (waiting.size() > MOST_WAITING * (busy.size() + dialing)) {
        waiting.pollLast().none(true);
      }
    }

    private void giveUp(long now, boolean own) {
      if (!waiting.isEmpty() && !idle.isEmpty()) {
        // Those that are not trusted are better than none.
        idle.peek().use(now, waiting.poll());
      }
      for (ConnectionWaiter next = waiting.poll(); next != null; next = waiting.poll()) {
        next.none(own);
      }
    }

    /** What a new connection costs in time, against one that is there. */
    private double handshake() {
      return connectSpan + (laterSpan == 0 ? 0 : Math.max(0, firstSpan - laterSpan));
    }

    private int soonFree(long now) {
      int soon = 0;
      for (UpstreamConnection link : busy) {
        double left = usual - (now - link.since);
        // One that is overdue may be so for long.
        soon += left < handshake() && left > -usual ? 1 : 0;
      }
      return soon;
    }

    private boolean dial(long now) {
      boolean careful = cold || distrusted || failures > 0;
      if (now < dialAt
          || dialing >= (careful ? 1 : AT_ONCE)
          || open() >= Math.min(perTarget, cap(now))
          || open >= most && !closeOldestIdle(this)) {
        return false;
      }
      dialing++;
      open++;
      counts.serversOpen.set(open);
      counts.opened.incrementAndGet();
      host.connect(new UpstreamConnection(this, now));
      return true;
    }

    private int cap(long now) {
      if (cap != Integer.MAX_VALUE && now - capAt > LEARNED) {
        cap++;
        capAt = now;
      }
      return cap;
    }

    /** Takes over an open connection. */
    public UpstreamConnection lend(long now) {
      UpstreamConnection link = new UpstreamConnection(this, now);
      open++;
      link.rest(now);
      return link;
    }

    /** Who waits is sent to it no more, and its idle connections go. */
    public void clear() {
      List.copyOf(idle).forEach(UpstreamConnection::end);
      for (ConnectionWaiter next = waiting.poll(); next != null; next = waiting.poll()) {
        next.none(true);
      }
    }

    /** It leaves, is gone, has moved or has begun anew: its connections are of no more use. */
    public void retire() {
      retired = true;
      clear();
    }
  }

  /** A connection to an archive server, from the moment at which it is wanted. */
  public final class UpstreamConnection {
    private final Upstream target;
    private State state = State.DIALING;

    /** When it began to be made, to be used or to be idle. */
    private long since;

    private boolean used;
    private TransportHandle carrier;

    private UpstreamConnection(Upstream target, long now) {
      this.target = target;
      since = now;
    }

    /** Whose it is. */
    public Upstream target() {
      return target;
    }

    /** What it is made of, as its host told. */
    public TransportHandle carrier() {
      return carrier;
    }

    /** Tells what it is made of. */
    public void carrier(TransportHandle by) {
      carrier = by;
    }

    private void use(long now, ConnectionWaiter attempt) {
      noRest();
      if (used) {
        counts.reused.incrementAndGet();
      }
      state = State.BUSY;
      since = now;
      target.busy.add(this);
      attempt.use(this);
    }

    private void rest(long now) {
      state = State.IDLE;
      since = now;
      target.idle.push(this);
      resting.add(this);
    }

    private void noRest() {
      target.idle.remove(this);
      resting.remove(this);
    }

    private void end() {
      closed();
      carrier.close();
    }

    /** It goes to who waits, or stays for who comes. */
    private void give(long now) {
      if (target.retired) {
        end();
        return;
      }
      ConnectionWaiter next = target.waiting.poll();
      if (next == null) {
        rest(now);
      } else {
        use(now, next);
      }
    }

    /** It is made. */
    public void connected(long now) {
      if (state != State.DIALING) {
        return;
      }
      target.dialing--;
      state = State.IDLE;
      target.failures = 0;
      connectSpan = mean(connectSpan, now - since);
      give(now);
      target.look(now);
    }

    /** It could not be made. */
    public void failed(long now, Failure how) {
      if (state != State.DIALING) {
        return;
      }
      counts.notOpened.incrementAndGet();
      closed();
      if (how == Failure.OWN) {
        target.dialAt = now + FIRST_BACKOFF;
        target.giveUp(now, true);
        return;
      }
      long span = Math.min(MOST_BACKOFF, FIRST_BACKOFF << Math.min(10, target.failures++));
      target.dialAt = now + span / 2 + random.nextLong(span / 2);
      int others = target.idle.size() + target.busy.size();
      if (target.distrusted) {
        // It is not to be reached: what is idle is dead.
        List.copyOf(target.idle).forEach(UpstreamConnection::end);
      } else if (how == Failure.SILENT) {
        target.distrusted = target.heardAt < since;
      } else if (others > 0) {
        // It serves on others: it has no room for one more, and who waits has these.
        target.cap = others;
        target.capAt = now;
        target.look(now);
        return;
      }
      ConnectionWaiter first = target.waiting.poll();
      if (first != null) {
        first.none(false);
      }
      target.look(now);
    }

    /** Who was given it needs it no more, or did not use it after all. */
    public void free(long now) {
      if (state == State.BUSY) {
        target.busy.remove(this);
        give(now);
      }
    }

    /**
     * An attempt on it was answered whole; {@code again} if it may be used again, else it is about
     * to be closed.
     */
    public void answered(long now, boolean again) {
      if (state != State.BUSY) {
        return;
      }
      long span = now - since;
      target.heardAt = now;
      target.distrusted = false;
      target.cold = false;
      target.usual = mean(target.usual, span);
      firstSpan = used ? firstSpan : mean(firstSpan, span);
      laterSpan = used ? mean(laterSpan, span) : laterSpan;
      used = true;
      if (again) {
        free(now);
        target.look(now);
      } else {
        lost(now);
      }
    }

    /** An attempt that was written whole had no answer in time; it is about to be closed. */
    public void timedOut(long now) {
      if (state == State.BUSY && target.heardAt < since) {
        target.distrusted = true;
      }
    }

    private void closed() {
      target.dialing -= state == State.DIALING ? 1 : 0;
      state = State.CLOSED;
      noRest();
      target.busy.remove(this);
      open--;
      counts.serversOpen.set(open);
    }

    /** It is closed, by whichever side, and who waits may need another; may be repeated. */
    public void lost(long now) {
      if (state != State.CLOSED) {
        closed();
        target.look(now);
      }
    }
  }
}

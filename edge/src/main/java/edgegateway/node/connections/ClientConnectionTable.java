package edgegateway.node.connections;

import edgegateway.node.connections.ConnectionMetrics.CloseReason;
import java.net.Inet6Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The table of clients' connections: who gets a place, who gives one up, and who has taken too
 * long. It does no I/O; its clock is given to it, and its carriers tell it what happens on the
 * sockets and do what it asks for. Times are nanoseconds of one clock.
 *
 * <p>While there is room nobody is bounded. Beyond that the shares of peer addresses are max-min:
 * the peer with the most connections gives up the one that has been idle longest, and a newcomer
 * from that peer is turned away.
 */
public final class ClientConnectionTable {
  private static final long MS = 1_000_000L;

  /** Before this no connection without a request on it may be closed, but in a drain. */
  static final long LEAST_IDLE = 2_000 * MS;

  /**
   * A peer that brings no whole head in this time is owed a close; clients take 2 s, and 3 s are
   * the limit.
   */
  static final long HEAD = 2_400 * MS;

  /**
   * A TLS handshake has this from the connect on; the head then has until {@link #HEAD_BEHIND_TLS}.
   */
  static final long HANDSHAKE = 1_500 * MS;

  static final long HEAD_BEHIND_TLS = 2_800 * MS;

  /** A body may pause for so long, and comes with so many bytes a millisecond or more. */
  private static final long PAUSE = 1_500 * MS;

  private static final long LUMP = 600 * MS;
  private static final long LEAST_RATE = 48;

  /** A peer that takes nothing of what is written to it for so long is given up. */
  static final long STALL = 8_000 * MS;

  /** How long connections go on coming in a drain (0.4 s at most), and some more. */
  public static final long DRAIN_GRACE = 600 * MS;

  /** Who comes when there is no place has this time for its head. */
  static final long CROWDED = 500 * MS;

  /** Closed at once; what has been sent on others is read before their turn comes. */
  private static final int CLOSE_AT_ONCE = 4;

  /**
   * A bound learned from a lack of descriptors holds for so long, then goes up by one each look.
   */
  private static final long LEARNED = 10_000 * MS;

  private static final int SPARE = 8;

  /** What the table asks for beside closes. */
  public interface Host {
    /** {@link ClientConnectionTable#step} is wanted when the sockets have been read once more. */
    void stepSoon();
  }

  private enum State {
    HANDSHAKE,
    NEW,
    IDLE,
    HEAD,
    BODY,
    BUSY,
    ENDING
  }

  /** The connections of one peer address. */
  private static final class Peer {
    private final Object address;
    private int count;

    /** Without a whole request on them, the longest first. */
    private final Set<Entry> resting = new LinkedHashSet<>();

    Peer(Object address) {
      this.address = address;
    }

    /** The one that has been without a request for longest, if that is long enough to end it. */
    Entry longestIdle(long now) {
      for (Entry entry : resting) {
        if (!entry.leaving) {
          return now - entry.since >= LEAST_IDLE ? entry : null;
        }
      }
      return null;
    }
  }

  private final Host host;
  private final ConnectionMetrics counts;
  private final Map<Object, Peer> peers = new HashMap<>();
  private final Set<Entry> entries = new LinkedHashSet<>();

  /** Those without a place, the longest waiting first. */
  private final Set<Entry> turnedAway = new LinkedHashSet<>();

  /** Chosen to end, unless a request comes before their turn. */
  private final Set<Entry> chosen = new LinkedHashSet<>();

  /** Answered for the last time: they only wait for the peer's close, the longest first. */
  private final Set<Entry> lingering = new LinkedHashSet<>();

  private int most;
  private int lane;
  private int learned = Integer.MAX_VALUE;
  private int idle;
  private long idleLimit;
  private long learnedAt;
  private boolean draining;
  private boolean stepping;

  /** An empty table. */
  public ClientConnectionTable(Host host, ConnectionMetrics counts) {
    this.host = host;
    this.counts = counts;
  }

  /** Follows a new budget; what is open beyond it ends as it becomes idle. */
  public void bound(long now, DescriptorBudget budget) {
    most = budget.clients();
    lane = budget.lane();
    idleLimit = budget.idle();
    shrink(now);
  }

  private int most() {
    return Math.min(most, learned);
  }

  /** Whether a newcomer finds no place at all, not even to be turned away. */
  public boolean full() {
    return entries.size() >= most() + lane;
  }

  /**
   * A third of the lane is for those to be turned away: who has said nothing for longest makes room
   * for the next.
   */
  private boolean roomToTurnAway() {
    if (turnedAway.size() < Math.max(1, lane / 3)) {
      return true;
    }
    for (Entry entry : turnedAway) {
      if (entry.state != State.BUSY && entry.state != State.ENDING) {
        entry.end(CloseReason.CROWDED);
        return true;
      }
    }
    return false;
  }

  /** Those that have a place and will keep it for now. */
  private int occupied() {
    return entries.size() - turnedAway.size() - chosen.size() - lingering.size();
  }

  /** How many are open. */
  public int open() {
    return entries.size();
  }

  /**
   * The process has no descriptor left, whatever the budget says: the table keeps below that for a
   * while. False if it does so already.
   */
  public boolean exhausted(long now) {
    counts.exhausted.incrementAndGet();
    boolean news = learned == Integer.MAX_VALUE;
    learned = Math.max(1, Math.min(learned, entries.size() - SPARE));
    learnedAt = now;
    shrink(now);
    return news;
  }

  /** An IPv6 network of 64 bits is one peer: another address costs it nothing. */
  private static Object key(SocketAddress address) {
    InetAddress ip = address instanceof InetSocketAddress inet ? inet.getAddress() : null;
    return ip instanceof Inet6Address
        ? ByteBuffer.wrap(ip.getAddress(), 0, 8)
        : ip == null ? "" : ip;
  }

  /** A connection was accepted; null if there is no place at all for it. */
  public Entry accepted(long now, SocketAddress from, boolean tls, TransportHandle carrier) {
    if (full() && !lingering.isEmpty()) {
      Entry longest = lingering.iterator().next();
      longest.closed();
      longest.carrier.close();
    }
    Peer peer = peers.computeIfAbsent(key(from), Peer::new);
    boolean room = occupied() < most() || makeRoom(now, peer);
    boolean away = !room && peer.count >= largest();
    if (away && !roomToTurnAway() || full()) {
      forget(peer);
      counts.refused.incrementAndGet();
      return null;
    }
    Entry entry = new Entry(peer, carrier, tls, away, now);
    peer.count++;
    entries.add(entry);
    counts.open.set(entries.size());
    if (away) {
      turnedAway.add(entry);
      counts.refused.incrementAndGet();
    }
    return entry;
  }

  private void forget(Peer peer) {
    if (peer.count == 0) {
      peers.remove(peer.address);
    }
  }

  private int largest() {
    int largest = 0;
    for (Peer peer : peers.values()) {
      largest = Math.max(largest, peer.count);
    }
    return largest;
  }

  /**
   * Has the peer with the most connections give one up for {@code wanted}, if that has fewer, or
   * for its own.
   */
  private boolean makeRoom(long now, Peer wanted) {
    Entry victim = null;
    for (Peer peer : peers.values()) {
      boolean more = peer == wanted || peer.count > wanted.count;
      if (more && (victim == null || peer.count > victim.peer.count)) {
        Entry longest = peer.longestIdle(now);
        victim = longest != null ? longest : victim;
      }
    }
    if (victim != null) {
      leave(victim, CloseReason.EVICTED);
    }
    return victim != null;
  }

  private void shrink(long now) {
    while (occupied() > most()) {
      Entry victim = null;
      for (Peer peer : peers.values()) {
        if (victim == null || peer.count > victim.peer.count) {
          Entry longest = peer.longestIdle(now);
          victim = longest != null ? longest : victim;
        }
      }
      if (victim == null) {
        return;
      }
      leave(victim, CloseReason.EVICTED);
    }
  }

  private void leave(Entry entry, CloseReason why) {
    entry.leaving = true;
    entry.why = why;
    chosen.add(entry);
    stepSoon();
  }

  /** Once, however many are chosen: between two steps the sockets are to be read. */
  private void stepSoon() {
    if (!stepping) {
      stepping = true;
      host.stepSoon();
    }
  }

  /** Ends some of those that were chosen and brought no request since. */
  public void step(long now) {
    stepping = false;
    int closed = 0;
    for (Iterator<Entry> next = chosen.iterator(); closed < CLOSE_AT_ONCE && next.hasNext(); ) {
      Entry entry = next.next();
      next.remove();
      entry.leaving = false;
      if (entry.why != CloseReason.DRAIN || draining && entry.between()) {
        entry.end(entry.why);
        closed++;
      }
    }
    shrink(now);
    if (!chosen.isEmpty()) {
      stepSoon();
    }
  }

  /** Takes clients no longer, or again. */
  public void drain(boolean on) {
    draining = on;
  }

  /**
   * The time in which connections go on coming is over: all between requests end, some at a time.
   */
  public void endIdle() {
    for (Entry entry : entries) {
      if (entry.between() && !entry.leaving && !entry.away) {
        leave(entry, CloseReason.DRAIN);
      }
    }
  }

  /** Ends what has taken too long; called every 0.2 s or so. */
  public void look(long now) {
    if (learned < most && now - learnedAt > LEARNED) {
      learned++;
    } else if (learned >= most) {
      learned = Integer.MAX_VALUE;
    }
    for (Entry entry : new ArrayList<>(entries)) {
      CloseReason late = entry.late(now);
      if (late != null) {
        entry.end(late);
      }
    }
    shrink(now);
  }

  /** A client's connection: its place in the table, and its state. */
  public final class Entry {
    private final Peer peer;
    private final TransportHandle carrier;
    private final boolean tls;
    private final boolean away;
    private final long born;
    private State state;

    /** When the wait for the present request began, and when something of it last came. */
    private long since;

    private long heard;
    private long received;

    private int unwritten;
    private long wroteAt;
    private boolean leaving;
    private boolean answered;
    private boolean over;
    private CloseReason why;

    private Entry(Peer peer, TransportHandle carrier, boolean tls, boolean away, long now) {
      this.peer = peer;
      this.carrier = carrier;
      this.tls = tls;
      this.away = away;
      born = now;
      since = now;
      heard = now;
      rest(tls ? State.HANDSHAKE : State.NEW);
    }

    /** Whether it has no place: its request is to be turned away. */
    public boolean turnedAway() {
      return away;
    }

    /** Whether nothing of a request is here. */
    public boolean between() {
      return state == State.NEW || state == State.IDLE;
    }

    /** Whether a request is in hand: taken and not answered. */
    public boolean busy() {
      return state == State.BUSY;
    }

    /**
     * Whether its answer should end it: the table is over its bound, and nobody has more than its
     * peer.
     */
    public boolean shouldEnd() {
      return away || occupied() > most() && peer.count >= largest();
    }

    private void rest(State next) {
      count(-1);
      state = next;
      count(1);
      peer.resting.remove(this);
      if (!away && (next == State.NEW || next == State.IDLE || next == State.HEAD)) {
        peer.resting.add(this);
      } else if (leaving) {
        leaving = false;
        chosen.remove(this);
      }
    }

    private void count(int by) {
      if (state == State.NEW || state == State.IDLE) {
        idle += by;
        counts.idle.set(idle);
      } else if (state == State.HANDSHAKE) {
        counts.handshaking.addAndGet(by);
      }
    }

    /** The TLS handshake is through. */
    public void secured() {
      if (state == State.HANDSHAKE) {
        rest(State.NEW);
      }
    }

    /** Bytes came of a head or a body that is not whole. */
    public void heard(long now, int bytes) {
      heard = now;
      received += bytes;
      if (state == State.IDLE) {
        since = now;
      }
      if (between()) {
        rest(State.HEAD);
      }
    }

    /** A head is whole, and its body is awaited. */
    public void head(long now) {
      heard(now, 0);
      received = 0;
      rest(State.BODY);
    }

    /** The request is whole, or goes its way as it comes. */
    public void request() {
      rest(State.BUSY);
    }

    /** The request has its answer, and the connection goes on. */
    public void idle(long now) {
      answered = true;
      since = now;
      heard = now;
      received = 0;
      rest(State.IDLE);
    }

    /** The connection ends with what is still to be written. */
    public void ending() {
      rest(State.ENDING);
    }

    /** The last answer is out, and nothing more is sent: its place is free for others. */
    public void lingering() {
      if (!over) {
        turnedAway.remove(this);
        lingering.add(this);
      }
    }

    /** An answer is written, and is not out yet. */
    public void writing(long now) {
      wroteAt = unwritten++ == 0 ? now : wroteAt;
    }

    /** An answer is out. */
    public void written(long now) {
      unwritten--;
      wroteAt = now;
    }

    /** The peer ended its sending, and waits for its answer. */
    public void halfClosed() {
      counts.halfClosed.incrementAndGet();
    }

    /** The connection is closed. */
    public void closed() {
      if (over) {
        return;
      }
      over = true;
      rest(State.ENDING);
      entries.remove(this);
      peer.resting.remove(this);
      peer.count--;
      turnedAway.remove(this);
      lingering.remove(this);
      forget(peer);
      counts.open.set(entries.size());
    }

    private CloseReason late(long now) {
      long waited = now - since;
      if (unwritten > 0 && now - wroteAt > STALL) {
        return CloseReason.UNREAD;
      }
      if (away && state != State.BUSY && state != State.ENDING && now - born > CROWDED) {
        return CloseReason.CROWDED;
      }
      return switch (state) {
        case HANDSHAKE -> waited > HANDSHAKE ? CloseReason.HANDSHAKE : null;
        case NEW ->
            draining && waited > DRAIN_GRACE
                ? CloseReason.DRAIN
                : waited > headLimit() ? CloseReason.HEAD : null;
        case HEAD -> waited > headLimit() ? CloseReason.HEAD : null;
        case IDLE ->
            draining && waited > DRAIN_GRACE
                ? CloseReason.DRAIN
                : waited > idleLimit ? CloseReason.IDLE : null;
        case BODY -> slow(now) ? CloseReason.BODY : null;
        case BUSY, ENDING -> null;
      };
    }

    private long headLimit() {
      return tls && !answered ? HEAD_BEHIND_TLS : HEAD;
    }

    /** A body comes in lumps: it may be behind for a while. */
    private boolean slow(long now) {
      long limit = headLimit() + received / LEAST_RATE * MS;
      return now - since > limit && (now - heard > PAUSE || now - since > limit + LUMP);
    }

    private void end(CloseReason cause) {
      counts.ended(cause);
      carrier.close();
    }
  }
}

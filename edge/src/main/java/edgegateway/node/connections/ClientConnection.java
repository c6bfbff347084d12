package edgegateway.node.connections;

import edgegateway.node.connections.ConnectionMetrics.CloseReason;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A client's connection in the {@link ClientConnectionTable}: its state and since when. Its session
 * reports what happens on the socket; the table closes it through its {@link TransportHandle}. For
 * the event loop's thread; times are nanoseconds of the table's clock.
 */
public final class ClientConnection {
  /** What the connection does. */
  enum State {
    /** The TLS handshake has not completed. */
    HANDSHAKING,
    /** Nothing of the first request has arrived. */
    NEW,
    /** Between requests. */
    IDLE,
    /** A request's head has not arrived whole. */
    READING_HEAD,
    /** A request's body has not arrived whole. */
    READING_BODY,
    /** A request is accepted, and its response not complete. */
    IN_FLIGHT,
    /** The last response is being written, or was. */
    CLOSING
  }

  private final ClientConnectionTable table;
  private final ConnectionMetrics metrics;
  private final PeerConnections peer;
  private final TransportHandle transport;
  private final boolean tls;
  private final boolean overCapacity;
  private final long acceptedNanos;
  private State state;

  /** When the wait for the present request began. */
  private long waitStartNanos;

  /** When something of the present request last arrived. */
  private long lastReceivedNanos;

  private long bodyBytes;
  private int pendingWrites;
  private long lastWriteProgressNanos;
  private boolean responded;
  private boolean closed;

  /** Why it is selected for eviction; null if it is not. */
  private CloseReason evictionReason;

  /** Belongs to the table, which adds it to its peer. */
  ClientConnection(
      ClientConnectionTable table,
      PeerConnections peer,
      TransportHandle transport,
      boolean tls,
      boolean overCapacity,
      long now) {
    this.table = table;
    this.metrics = table.metrics();
    this.peer = peer;
    this.transport = transport;
    this.tls = tls;
    this.overCapacity = overCapacity;
    acceptedNanos = now;
    waitStartNanos = now;
    lastReceivedNanos = now;
    enter(tls ? State.HANDSHAKING : State.NEW);
  }

  /** Whether it was accepted over capacity: its request is to be rejected. */
  public boolean isOverCapacity() {
    return overCapacity;
  }

  /** Whether nothing of a request has arrived since the last response. */
  public boolean isIdle() {
    return state == State.NEW || state == State.IDLE;
  }

  /**
   * Whether the next response should close it: it was accepted over capacity, or the table is over
   * capacity and no peer has more connections than this one's.
   */
  public boolean shouldCloseAfterResponse() {
    return overCapacity || table.isOverCapacityBy(peer);
  }

  /** The TLS handshake completed. */
  public void handshakeCompleted() {
    if (state == State.HANDSHAKING) {
      enter(State.NEW);
    }
  }

  /** Bytes of an incomplete head or body arrived. */
  public void bytesReceived(long now, int bytes) {
    lastReceivedNanos = now;
    bodyBytes += bytes;
    if (state == State.IDLE) {
      waitStartNanos = now;
    }
    if (isIdle()) {
      enter(State.READING_HEAD);
    }
  }

  /** A request's head is complete. */
  public void headReceived(long now) {
    bytesReceived(now, 0);
    bodyBytes = 0;
    enter(State.READING_BODY);
  }

  /** The request is complete, or is forwarded as it arrives. */
  public void requestReceived() {
    enter(State.IN_FLIGHT);
  }

  /** The response is complete, and the connection persists. */
  public void responseSent(long now) {
    responded = true;
    waitStartNanos = now;
    lastReceivedNanos = now;
    bodyBytes = 0;
    enter(State.IDLE);
  }

  /** The connection closes once what is pending has been written. */
  public void closing() {
    enter(State.CLOSING);
  }

  /** The last response was written, and only the client's close is awaited: its place is free. */
  public void lingering() {
    if (!closed) {
      table.lingering(this);
    }
  }

  /** A response is being written. */
  public void writeStarted(long now) {
    if (pendingWrites == 0) {
      lastWriteProgressNanos = now;
    }
    pendingWrites++;
  }

  /** A response was written, or failed to be. */
  public void writeCompleted(long now) {
    pendingWrites--;
    lastWriteProgressNanos = now;
  }

  /** The client ended its side, and waits for its response. */
  public void halfClosed() {
    metrics.halfClosed.incrementAndGet();
  }

  /** The socket is closed. May be repeated. */
  public void closed() {
    if (closed) {
      return;
    }
    closed = true;
    enter(State.CLOSING);
    table.removed(this);
  }

  /** Has the socket closed; that is reported by {@link #closed}. */
  void close(CloseReason reason) {
    metrics.closed(reason);
    transport.close();
  }

  /** Has the socket closed to make room while it lingers, and leaves the table before that. */
  void closeLingering() {
    closed();
    transport.close();
  }

  PeerConnections peer() {
    return peer;
  }

  State state() {
    return state;
  }

  long ageNanos(long now) {
    return now - acceptedNanos;
  }

  /** How long the present state's request has been awaited. */
  long waitedNanos(long now) {
    return now - waitStartNanos;
  }

  long silentNanos(long now) {
    return now - lastReceivedNanos;
  }

  long bodyBytes() {
    return bodyBytes;
  }

  /** How long writing has made no progress; 0 if nothing is being written. */
  long writeStalledNanos(long now) {
    return pendingWrites > 0 ? now - lastWriteProgressNanos : 0;
  }

  boolean awaitsFirstHeadOverTls() {
    return tls && !responded;
  }

  boolean isSelectedForEviction() {
    return evictionReason != null;
  }

  CloseReason evictionReason() {
    return evictionReason;
  }

  void setEvictionReason(CloseReason reason) {
    evictionReason = reason;
  }

  private void enter(State next) {
    countState(-1);
    state = next;
    countState(1);
    if (!overCapacity && isWithoutRequest(next)) {
      peer.setEvictable(this);
      return;
    }
    peer.setNotEvictable(this);
    if (evictionReason != null) {
      // A request came before its turn.
      evictionReason = null;
      table.evictionCancelled(this);
    }
  }

  private static boolean isWithoutRequest(State state) {
    return state == State.NEW || state == State.IDLE || state == State.READING_HEAD;
  }

  private void countState(int change) {
    AtomicLong gauge = gauge();
    if (gauge != null) {
      gauge.addAndGet(change);
    }
  }

  /** The gauge that counts connections in this state; null if none does. */
  private AtomicLong gauge() {
    if (state == State.HANDSHAKING) {
      return metrics.handshaking;
    }
    return state != null && isIdle() ? metrics.clientsIdle : null;
  }
}

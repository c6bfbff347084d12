package edgegateway.node.connections;

import edgegateway.node.connections.ConnectionMetrics.CloseReason;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A client's connection in the {@link ClientConnectionTable}: its state and the times that its
 * timeouts depend on. The session of the connection reports socket events to it; the table closes
 * the socket through the {@link TransportHandle}. Used on the event loop's thread only; times are
 * nanoseconds of the table's clock.
 */
public final class ClientConnection {
  /** What the connection is doing. */
  enum State {
    /** The TLS handshake has not completed. */
    HANDSHAKING,
    /** No byte of the first request has arrived. */
    NEW,
    /** Between requests; the previous response may not be written to the socket yet. */
    BETWEEN_REQUESTS,
    /** A request head is incomplete. */
    READING_HEAD,
    /** A request body is incomplete. */
    READING_BODY,
    /** A request was accepted, and its response is incomplete. */
    IN_FLIGHT,
    /** The last response is being written or has been written. */
    CLOSING
  }

  private final ClientConnectionTable table;
  private final ConnectionMetrics metrics;
  private final PeerConnections peer;
  private final TransportHandle transport;
  private final boolean tls;
  private final boolean overCapacity;
  private final long acceptedAtNanos;
  private State state;

  /**
   * When the wait for the current request began: at the accept, when the previous response was
   * written, or at the first byte of a further request.
   */
  private long waitStartedAtNanos;

  /** When bytes of the current request last arrived. */
  private long lastReceivedAtNanos;

  private long bodyBytes;
  private int pendingWrites;
  private long lastWriteProgressAtNanos;
  private boolean responded;
  private boolean closed;

  /** Why the connection is selected for eviction; null if it is not selected. */
  private CloseReason evictionReason;

  /** Created by the table, which then counts the connection at its peer. */
  ClientConnection(
      ClientConnectionTable table,
      PeerConnections peer,
      TransportHandle transport,
      boolean tls,
      boolean overCapacity,
      long nowNanos) {
    this.table = table;
    this.metrics = table.metrics();
    this.peer = peer;
    this.transport = transport;
    this.tls = tls;
    this.overCapacity = overCapacity;
    acceptedAtNanos = nowNanos;
    waitStartedAtNanos = nowNanos;
    lastReceivedAtNanos = nowNanos;
    enter(tls ? State.HANDSHAKING : State.NEW);
  }

  /** Whether the connection was accepted over capacity, only to have its request rejected. */
  public boolean isOverCapacity() {
    return overCapacity;
  }

  /** Whether no byte of a request has arrived since the accept or the last response. */
  public boolean awaitsRequest() {
    return state == State.NEW || state == State.BETWEEN_REQUESTS;
  }

  /** Whether the connection awaits a request and nothing is left to write to it. */
  boolean isIdle() {
    return awaitsRequest() && !hasUnwrittenResponse();
  }

  /**
   * Whether to close the connection after the next response: it was accepted over capacity, or the
   * table is over capacity and no peer has more connections than the peer of this connection.
   */
  public boolean shouldCloseAfterResponse() {
    return overCapacity || table.isOverCapacityBy(peer);
  }

  /** Reports that the TLS handshake completed. */
  public void handshakeCompleted() {
    if (state == State.HANDSHAKING) {
      enter(State.NEW);
    }
  }

  /** Reports that bytes of an incomplete head or body arrived. */
  public void bytesReceived(long nowNanos, int bytes) {
    lastReceivedAtNanos = nowNanos;
    bodyBytes += bytes;
    if (state == State.BETWEEN_REQUESTS) {
      waitStartedAtNanos = nowNanos;
    }
    if (awaitsRequest()) {
      enter(State.READING_HEAD);
    }
  }

  /** Reports that a request head is complete. */
  public void headReceived(long nowNanos) {
    bytesReceived(nowNanos, 0);
    bodyBytes = 0;
    enter(State.READING_BODY);
  }

  /** Reports that the request is complete, or that its body is forwarded as it arrives. */
  public void requestReceived() {
    enter(State.IN_FLIGHT);
  }

  /**
   * Reports that the response was passed to the channel completely and the connection stays open.
   * The connection becomes idle only when its writes are complete.
   */
  public void responseSubmitted(long nowNanos) {
    responded = true;
    waitStartedAtNanos = nowNanos;
    lastReceivedAtNanos = nowNanos;
    bodyBytes = 0;
    enter(State.BETWEEN_REQUESTS);
  }

  /** Reports that the connection will be closed after the pending writes. */
  public void closing() {
    enter(State.CLOSING);
  }

  /**
   * Reports that the last response was written and only the client's close is awaited. The
   * connection no longer counts against the capacity.
   */
  public void lingering() {
    if (!closed) {
      table.lingering(this);
    }
  }

  /** Reports that a write of a response began. */
  public void writeStarted(long nowNanos) {
    if (pendingWrites == 0) {
      lastWriteProgressAtNanos = nowNanos;
    }
    pendingWrites++;
  }

  /** Reports that a write of a response succeeded or failed. */
  public void writeCompleted(long nowNanos) {
    pendingWrites--;
    lastWriteProgressAtNanos = nowNanos;
    if (!hasUnwrittenResponse() && !closed) {
      allResponsesWritten(nowNanos);
    }
  }

  /** The wait for the next request begins now, even if a part of that request has arrived. */
  private void allResponsesWritten(long nowNanos) {
    if (isWithoutRequest(state) || state == State.READING_BODY) {
      waitStartedAtNanos = nowNanos;
      enter(state);
    }
  }

  /** Reports that the client shut down its output while it waits for a response. */
  public void halfClosed() {
    metrics.halfClosed.incrementAndGet();
  }

  /** Reports that the socket is closed; idempotent. */
  public void closed() {
    if (closed) {
      return;
    }
    closed = true;
    enter(State.CLOSING);
    table.removed(this);
  }

  /** Closes the socket; the session then calls {@link #closed}. */
  void close(CloseReason reason) {
    closedBy(reason);
    transport.close();
  }

  /** Reports that this node closes or resets the socket without regard to unwritten data. */
  public void closedBy(CloseReason reason) {
    metrics.closed(reason);
    if (hasUnwrittenResponse()) {
      metrics.responseCut(reason);
    }
  }

  /** The number of complete responses of which a part has not been written to the socket. */
  public int unwrittenResponses() {
    return pendingWrites;
  }

  /** Whether a part of a complete response has not been written to the socket. */
  public boolean hasUnwrittenResponse() {
    return pendingWrites > 0;
  }

  /** Removes a lingering connection from the table and closes its socket, to free capacity. */
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

  long ageNanos(long nowNanos) {
    return nowNanos - acceptedAtNanos;
  }

  /** Time since the wait for the current request began. */
  long waitedNanos(long nowNanos) {
    return nowNanos - waitStartedAtNanos;
  }

  /** Time since bytes of the current request last arrived. */
  long receiveStalledNanos(long nowNanos) {
    return nowNanos - lastReceivedAtNanos;
  }

  long bodyBytes() {
    return bodyBytes;
  }

  /** Whether a response is pending that the client does not read. */
  boolean isWriteStalled(long nowNanos) {
    return pendingWrites > 0
        && WriteStallTimeout.isExpired(nowNanos - lastWriteProgressAtNanos, transport);
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
    if (!overCapacity && isWithoutRequest(next) && !hasUnwrittenResponse()) {
      peer.setEvictable(this);
      return;
    }
    peer.setNotEvictable(this);
    if (evictionReason != null) {
      // A request arrived before the eviction took place.
      evictionReason = null;
      table.evictionCancelled(this);
    }
  }

  private static boolean isWithoutRequest(State state) {
    return state == State.NEW || state == State.BETWEEN_REQUESTS || state == State.READING_HEAD;
  }

  private void countState(int change) {
    AtomicLong gauge = gauge();
    if (gauge != null) {
      gauge.addAndGet(change);
    }
  }

  /** The gauge of connections in the current state; null if the state has no gauge. */
  private AtomicLong gauge() {
    if (state == State.HANDSHAKING) {
      return metrics.handshaking;
    }
    return state != null && awaitsRequest() ? metrics.clientsIdle : null;
  }
}

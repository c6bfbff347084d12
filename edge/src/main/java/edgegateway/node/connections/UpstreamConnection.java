package edgegateway.node.connections;

/**
 * State machine of one connection to an archive server: connecting, then alternately idle and in
 * use, then closed. The channel handler and the attempts report events to it; all times are
 * nanoseconds of the same clock. An event that is not valid in the current state is ignored, since
 * the pool and the channel may both close the connection.
 */
public final class UpstreamConnection {
  private enum State {
    CONNECTING,
    IDLE,
    IN_USE,
    CLOSED
  }

  private final Upstream upstream;
  private State state = State.CONNECTING;

  /** Start time of the current state: of connecting, use or idleness. */
  private long stateSinceNanos;

  private boolean hasResponded;
  private TransportHandle transport;

  UpstreamConnection(Upstream upstream, long nowNanos) {
    this.upstream = upstream;
    stateSinceNanos = nowNanos;
  }

  /** The pool that this connection belongs to. */
  public Upstream upstream() {
    return upstream;
  }

  /** The connection's socket; null until attached. */
  public TransportHandle transport() {
    return transport;
  }

  /** Attaches the connection's socket. */
  public void attachTransport(TransportHandle transport) {
    this.transport = transport;
  }

  /** Reports that the connection is established. */
  public void connected(long nowNanos) {
    if (state == State.CONNECTING) {
      state = State.IDLE;
      upstream.connected(this, nowNanos);
    }
  }

  /** Reports that the connection could not be established. */
  public void connectFailed(long nowNanos, ConnectFailure failure) {
    if (state == State.CONNECTING) {
      upstream.connectFailed(this, nowNanos, failure);
    }
  }

  /** Returns the connection to the pool without a response, for instance unused. */
  public void release(long nowNanos) {
    if (state == State.IN_USE) {
      upstream.released(this, nowNanos);
    }
  }

  /**
   * Reports that the complete response to the attempt on this connection has arrived.
   *
   * @param reusable whether another attempt may use the connection; otherwise it is counted as
   *     closed, and the caller closes it
   */
  public void responseReceived(long nowNanos, boolean reusable) {
    if (state != State.IN_USE) {
      return;
    }
    boolean first = !hasResponded;
    hasResponded = true;
    upstream.responseReceived(this, nowNanos, first, reusable);
  }

  /**
   * Reports that a completely written attempt got no response in time. The caller closes the
   * connection afterwards.
   */
  public void timedOut(long nowNanos) {
    if (state == State.IN_USE) {
      upstream.timedOut(this);
    }
  }

  /** Reports that the connection was closed by either side; idempotent. */
  public void closed(long nowNanos) {
    if (state != State.CLOSED) {
      upstream.closed(this, nowNanos);
    }
  }

  boolean isConnecting() {
    return state == State.CONNECTING;
  }

  boolean hasResponded() {
    return hasResponded;
  }

  long stateSinceNanos() {
    return stateSinceNanos;
  }

  void markIdle(long nowNanos) {
    state = State.IDLE;
    stateSinceNanos = nowNanos;
  }

  void markInUse(long nowNanos) {
    state = State.IN_USE;
    stateSinceNanos = nowNanos;
  }

  void markClosed() {
    state = State.CLOSED;
  }
}

package edgegateway.node.connections;

/**
 * State machine of one connection to an archive server: connecting, then idle and in use by turns,
 * then closed. Its events are reported to it by what does the I/O; times are nanoseconds of one
 * clock. An event that does not fit its state is ignored, so both sides may close it.
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

  /** When it began to connect, to be in use or to be idle. */
  private long stateSinceNanos;

  private boolean hasResponded;
  private TransportHandle transport;

  UpstreamConnection(Upstream upstream, long nowNanos) {
    this.upstream = upstream;
    stateSinceNanos = nowNanos;
  }

  /** Whose connection it is. */
  public Upstream upstream() {
    return upstream;
  }

  /** What carries its bytes; null until it is attached. */
  public TransportHandle transport() {
    return transport;
  }

  /** Attaches what carries its bytes. */
  public void attachTransport(TransportHandle attached) {
    transport = attached;
  }

  /** It is established. */
  public void connected(long nowNanos) {
    if (state == State.CONNECTING) {
      state = State.IDLE;
      upstream.connected(this, nowNanos);
    }
  }

  /** It could not be established. */
  public void connectFailed(long nowNanos, ConnectFailure failure) {
    if (state == State.CONNECTING) {
      upstream.connectFailed(this, nowNanos, failure);
    }
  }

  /** Its attempt does not use it any more, or has not used it at all. */
  public void release(long nowNanos) {
    if (state == State.IN_USE) {
      upstream.released(this, nowNanos);
    }
  }

  /**
   * A complete response came to the attempt on it.
   *
   * @param reusable whether another attempt may use it; if not, it is about to be closed
   */
  public void responseReceived(long nowNanos, boolean reusable) {
    if (state != State.IN_USE) {
      return;
    }
    boolean first = !hasResponded;
    hasResponded = true;
    upstream.responseReceived(this, nowNanos, first, reusable);
  }

  /** An attempt that was written completely had no response in time; it is about to be closed. */
  public void timedOut(long nowNanos) {
    if (state == State.IN_USE) {
      upstream.timedOut(this);
    }
  }

  /** It is closed, by whichever side; may be repeated. */
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

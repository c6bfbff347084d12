package edgegateway.node.connections;

import edgegateway.node.connections.ClientConnection.State;
import edgegateway.node.connections.ConnectionMetrics.CloseReason;

/**
 * How long a client's connection may stay in each state. Holds only the rules: the connection
 * stores its times, and the table closes expired connections. Times are nanoseconds of one clock.
 */
final class ClientTimeouts {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** A connection without a request is not evicted before this time, except in a drain. */
  static final long MIN_IDLE_NANOS = 2_000 * NANOS_PER_MILLI;

  /** Timeout of a request head. Clients may take 2 s, and must be disconnected by 3 s. */
  static final long HEAD_TIMEOUT_NANOS = 2_400 * NANOS_PER_MILLI;

  /** Timeout of a TLS handshake, from the accept. */
  static final long HANDSHAKE_TIMEOUT_NANOS = 1_500 * NANOS_PER_MILLI;

  /** Timeout of the first request head over TLS, from the accept: includes the handshake. */
  static final long FIRST_HEAD_OVER_TLS_TIMEOUT_NANOS = 2_800 * NANOS_PER_MILLI;

  /** Timeout of the request on a connection accepted over capacity, which is then rejected. */
  static final long OVER_CAPACITY_TIMEOUT_NANOS = 500 * NANOS_PER_MILLI;

  /** How long new connections keep arriving after a drain began: up to 0.4 s, plus a margin. */
  static final long DRAIN_GRACE_NANOS = 600 * NANOS_PER_MILLI;

  /** Minimum rate of a request body. */
  private static final long MIN_BODY_BYTES_PER_MILLI = 48;

  /** Maximum time without a byte of a body that is behind the minimum rate. */
  private static final long MAX_BODY_STALL_NANOS = 1_500 * NANOS_PER_MILLI;

  /** How far a body may fall behind the minimum rate, because bodies arrive in bursts. */
  private static final long BODY_BURST_ALLOWANCE_NANOS = 600 * NANOS_PER_MILLI;

  private long idleTimeoutNanos;
  private boolean draining;

  void setIdleTimeoutNanos(long idleTimeoutNanos) {
    this.idleTimeoutNanos = idleTimeoutNanos;
  }

  void setDraining(boolean draining) {
    this.draining = draining;
  }

  /** The timeout of this connection that has expired, as a close reason; null if none has. */
  CloseReason expired(ClientConnection connection, long nowNanos) {
    if (connection.hasUnwrittenResponse()) {
      // Any other close would cut the response, whatever the client sends meanwhile.
      return connection.isWriteStalled(nowNanos) ? CloseReason.RESPONSE_NOT_READ : null;
    }
    State state = connection.state();
    if (connection.isOverCapacity()
        && state != State.IN_FLIGHT
        && state != State.CLOSING
        && connection.ageNanos(nowNanos) > OVER_CAPACITY_TIMEOUT_NANOS) {
      return CloseReason.OVER_CAPACITY;
    }
    long waitedNanos = connection.waitedNanos(nowNanos);
    return switch (state) {
      case HANDSHAKING ->
          waitedNanos > HANDSHAKE_TIMEOUT_NANOS ? CloseReason.HANDSHAKE_TIMEOUT : null;
      case NEW ->
          expiredWithoutRequest(
              waitedNanos, headTimeoutNanos(connection), CloseReason.HEAD_TIMEOUT);
      case READING_HEAD ->
          waitedNanos > headTimeoutNanos(connection) ? CloseReason.HEAD_TIMEOUT : null;
      case BETWEEN_REQUESTS ->
          expiredWithoutRequest(waitedNanos, idleTimeoutNanos, CloseReason.IDLE_TIMEOUT);
      case READING_BODY -> isBodyTooSlow(connection, nowNanos) ? CloseReason.SLOW_BODY : null;
      case IN_FLIGHT, CLOSING -> null;
    };
  }

  private CloseReason expiredWithoutRequest(
      long waitedNanos, long timeoutNanos, CloseReason reason) {
    if (draining && waitedNanos > DRAIN_GRACE_NANOS) {
      return CloseReason.DRAINED;
    }
    return waitedNanos > timeoutNanos ? reason : null;
  }

  private static long headTimeoutNanos(ClientConnection connection) {
    return connection.awaitsFirstHeadOverTls()
        ? FIRST_HEAD_OVER_TLS_TIMEOUT_NANOS
        : HEAD_TIMEOUT_NANOS;
  }

  private static boolean isBodyTooSlow(ClientConnection connection, long nowNanos) {
    long allowedBodyNanos = connection.bodyBytes() / MIN_BODY_BYTES_PER_MILLI * NANOS_PER_MILLI;
    long lateNanos =
        connection.waitedNanos(nowNanos) - headTimeoutNanos(connection) - allowedBodyNanos;
    if (lateNanos <= 0) {
      return false;
    }
    return connection.receiveStalledNanos(nowNanos) > MAX_BODY_STALL_NANOS
        || lateNanos > BODY_BURST_ALLOWANCE_NANOS;
  }
}

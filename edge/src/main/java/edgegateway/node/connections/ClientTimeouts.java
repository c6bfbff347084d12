package edgegateway.node.connections;

import edgegateway.node.connections.ClientConnection.State;
import edgegateway.node.connections.ConnectionMetrics.CloseReason;

/**
 * How long a client's connection may stay in each state. Rules only: the connection keeps the
 * times, the table closes what has expired. Times are nanoseconds of one clock.
 */
final class ClientTimeouts {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** No connection without a request is closed before this, except in a drain. */
  static final long MIN_IDLE_NANOS = 2_000 * NANOS_PER_MILLI;

  /** For a request head. Clients may take 2 s, and have to be cut off by 3 s. */
  static final long HEAD_NANOS = 2_400 * NANOS_PER_MILLI;

  /** For a TLS handshake, counted from the accept. */
  static final long HANDSHAKE_NANOS = 1_500 * NANOS_PER_MILLI;

  /** For the first request head over TLS, counted from the accept: handshake included. */
  static final long FIRST_HEAD_OVER_TLS_NANOS = 2_800 * NANOS_PER_MILLI;

  /** For an accepted connection over capacity to send the request that is to be rejected. */
  static final long OVER_CAPACITY_NANOS = 500 * NANOS_PER_MILLI;

  /** For any progress in writing a response. */
  static final long WRITE_STALL_NANOS = 8_000 * NANOS_PER_MILLI;

  /** How long connections keep arriving in a drain: 0.4 s at most, and a margin. */
  static final long DRAIN_GRACE_NANOS = 600 * NANOS_PER_MILLI;

  /** A request body has to arrive at this rate. */
  private static final long MIN_BODY_BYTES_PER_MILLI = 48;

  /** A body that is behind its rate may pause for this long. */
  private static final long BODY_PAUSE_NANOS = 1_500 * NANOS_PER_MILLI;

  /** A body may be behind its rate for this long: it arrives in bursts. */
  private static final long BODY_BURST_ALLOWANCE_NANOS = 600 * NANOS_PER_MILLI;

  private long idleNanos;
  private boolean draining;

  void setIdleNanos(long idleNanos) {
    this.idleNanos = idleNanos;
  }

  void setDraining(boolean draining) {
    this.draining = draining;
  }

  /** The timeout of this connection that has expired; null if none has. */
  CloseReason expired(ClientConnection connection, long now) {
    if (connection.writeStalledNanos(now) > WRITE_STALL_NANOS) {
      return CloseReason.RESPONSE_NOT_READ;
    }
    State state = connection.state();
    if (connection.isOverCapacity()
        && state != State.IN_FLIGHT
        && state != State.CLOSING
        && connection.ageNanos(now) > OVER_CAPACITY_NANOS) {
      return CloseReason.OVER_CAPACITY;
    }
    long waitedNanos = connection.waitedNanos(now);
    return switch (state) {
      case HANDSHAKING -> waitedNanos > HANDSHAKE_NANOS ? CloseReason.HANDSHAKE_TIMEOUT : null;
      case NEW ->
          expiredWithoutRequest(waitedNanos, headNanos(connection), CloseReason.HEAD_TIMEOUT);
      case READING_HEAD -> waitedNanos > headNanos(connection) ? CloseReason.HEAD_TIMEOUT : null;
      case IDLE -> expiredWithoutRequest(waitedNanos, idleNanos, CloseReason.IDLE_TIMEOUT);
      case READING_BODY -> isBodyTooSlow(connection, now) ? CloseReason.SLOW_BODY : null;
      case IN_FLIGHT, CLOSING -> null;
    };
  }

  private CloseReason expiredWithoutRequest(long waitedNanos, long limitNanos, CloseReason reason) {
    if (draining && waitedNanos > DRAIN_GRACE_NANOS) {
      return CloseReason.DRAINED;
    }
    return waitedNanos > limitNanos ? reason : null;
  }

  private static long headNanos(ClientConnection connection) {
    return connection.awaitsFirstHeadOverTls() ? FIRST_HEAD_OVER_TLS_NANOS : HEAD_NANOS;
  }

  private static boolean isBodyTooSlow(ClientConnection connection, long now) {
    long bodyNanos = connection.bodyBytes() / MIN_BODY_BYTES_PER_MILLI * NANOS_PER_MILLI;
    long lateNanos = connection.waitedNanos(now) - headNanos(connection) - bodyNanos;
    if (lateNanos <= 0) {
      return false;
    }
    return connection.silentNanos(now) > BODY_PAUSE_NANOS || lateNanos > BODY_BURST_ALLOWANCE_NANOS;
  }
}

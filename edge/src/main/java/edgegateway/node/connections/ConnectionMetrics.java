package edgegateway.node.connections;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.BiConsumer;

/**
 * Counters and gauges of connections to clients and to archive servers. Updated on the event loop's
 * thread, readable on any thread.
 */
public final class ConnectionMetrics {
  /** Why this node closed a client's connection. */
  public enum CloseReason {
    /** The TLS handshake did not complete in time. */
    HANDSHAKE_TIMEOUT("timed_out.handshake"),
    /** No complete request head arrived in time. */
    HEAD_TIMEOUT("timed_out.head"),
    /** A request body arrived too slowly. */
    SLOW_BODY("timed_out.body"),
    /** The connection was idle between requests for too long. */
    IDLE_TIMEOUT("timed_out.idle"),
    /** The client did not read its response. */
    RESPONSE_NOT_READ("timed_out.unread"),
    /** Evicted while idle, because capacity was needed for other connections. */
    EVICTED("evicted"),
    /** Idle while the node drains. */
    DRAINED("drain"),
    /** Accepted over capacity, but no request arrived in time to be rejected. */
    OVER_CAPACITY("timed_out.crowded"),
    /** The client closed or shut down its output, and is owed no further response. */
    INPUT_ENDED("input_ended"),
    /** A streamed request body was invalid or too long. */
    INVALID_BODY("invalid_body"),
    /** The archive server did not complete the response that was streamed to the client. */
    RESPONSE_INCOMPLETE("response_incomplete"),
    /** The response was not written completely by the client's deadline. */
    RESPONSE_DEADLINE("response_deadline");

    private final String metricName;

    CloseReason(String metricName) {
      this.metricName = metricName;
    }

    /** The name of the reason in metrics and log lines. */
    public String metricName() {
      return metricName;
    }
  }

  /** Cached: {@code values()} copies the array. */
  private static final CloseReason[] CLOSE_REASONS = CloseReason.values();

  final AtomicLong clientsOpen = new AtomicLong();
  final AtomicLong clientsIdle = new AtomicLong();
  final AtomicLong handshaking = new AtomicLong();
  final AtomicLong handshakesFailed = new AtomicLong();
  final AtomicLong rejected = new AtomicLong();
  final AtomicLong halfClosed = new AtomicLong();
  final AtomicLong descriptorsExhausted = new AtomicLong();
  final AtomicLong upstreamsOpen = new AtomicLong();
  final AtomicLong upstreamConnects = new AtomicLong();
  final AtomicLong upstreamConnectFailures = new AtomicLong();
  final AtomicLong upstreamReuses = new AtomicLong();
  final AtomicLong bufferedBytes = new AtomicLong();
  final AtomicLong bodiesRejected = new AtomicLong();
  private final AtomicLongArray closedByReason = new AtomicLongArray(CLOSE_REASONS.length);
  private final AtomicLongArray responsesCutByReason = new AtomicLongArray(CLOSE_REASONS.length);

  /** Counts a client's connection that this node closes. */
  void closed(CloseReason reason) {
    closedByReason.incrementAndGet(reason.ordinal());
  }

  /** Counts a complete response of which a part was not written when this node closed. */
  void responseCut(CloseReason reason) {
    responsesCutByReason.incrementAndGet(reason.ordinal());
  }

  /**
   * The number of complete responses of which a part was not written to the socket when this node
   * closed the connection for this reason.
   */
  public long responsesCut(CloseReason reason) {
    return responsesCutByReason.get(reason.ordinal());
  }

  private long responsesCut() {
    long sum = 0;
    for (CloseReason reason : CLOSE_REASONS) {
      sum += responsesCut(reason);
    }
    return sum;
  }

  /** Passes the name and value of each metric, as shown to operators. Thread-safe. */
  public void forEach(BiConsumer<String, Long> consumer) {
    consumer.accept("open", clientsOpen.get());
    consumer.accept("idle", clientsIdle.get());
    consumer.accept("handshaking", handshaking.get());
    consumer.accept("handshakes_failed", handshakesFailed.get());
    consumer.accept("refused", rejected.get());
    consumer.accept("half_closed", halfClosed.get());
    consumer.accept("descriptors_exhausted", descriptorsExhausted.get());
    for (CloseReason reason : CLOSE_REASONS) {
      consumer.accept(reason.metricName, closedByReason.get(reason.ordinal()));
    }
    consumer.accept("responses_cut", responsesCut());
    consumer.accept("archive_servers.open", upstreamsOpen.get());
    consumer.accept("archive_servers.opened", upstreamConnects.get());
    consumer.accept("archive_servers.not_opened", upstreamConnectFailures.get());
    consumer.accept("archive_servers.reused", upstreamReuses.get());
    consumer.accept("held_bytes", bufferedBytes.get());
    consumer.accept("bodies_refused", bodiesRejected.get());
  }
}

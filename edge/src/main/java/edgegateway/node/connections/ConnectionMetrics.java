package edgegateway.node.connections;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.BiConsumer;

/** The figures of connections: told on the loop, read on any thread. */
public final class ConnectionMetrics {
  /** Why a connection was ended by this side before its peer did. */
  public enum CloseReason {
    /** No end of its TLS handshake in time. */
    HANDSHAKE,
    /** No whole head in time. */
    HEAD,
    /** A body that came too slowly. */
    BODY,
    /** Too long between requests. */
    IDLE,
    /** An answer that was not read. */
    UNREAD,
    /** Another peer had fewer: this one gave way. */
    EVICTED,
    /** The edge node drains. */
    DRAIN,
    /** There was no place for it, and it said nothing in time. */
    CROWDED
  }

  final AtomicLong open = new AtomicLong();
  final AtomicLong idle = new AtomicLong();
  final AtomicLong handshaking = new AtomicLong();
  final AtomicLong handshakesFailed = new AtomicLong();
  final AtomicLong refused = new AtomicLong();
  final AtomicLong halfClosed = new AtomicLong();
  final AtomicLong exhausted = new AtomicLong();
  final AtomicLong serversOpen = new AtomicLong();
  final AtomicLong opened = new AtomicLong();
  final AtomicLong notOpened = new AtomicLong();
  final AtomicLong reused = new AtomicLong();
  final AtomicLong heldBytes = new AtomicLong();
  final AtomicLong bodiesRefused = new AtomicLong();
  private final AtomicLongArray ended = new AtomicLongArray(CloseReason.values().length);

  void ended(CloseReason why) {
    ended.incrementAndGet(why.ordinal());
  }

  /** Tells each figure with its name. */
  public void tell(BiConsumer<String, Long> to) {
    to.accept("open", open.get());
    to.accept("idle", idle.get());
    to.accept("handshaking", handshaking.get());
    to.accept("handshakes_failed", handshakesFailed.get());
    to.accept("refused", refused.get());
    to.accept("half_closed", halfClosed.get());
    to.accept("descriptors_exhausted", exhausted.get());
    for (CloseReason why : CloseReason.values()) {
      boolean late = why != CloseReason.EVICTED && why != CloseReason.DRAIN;
      to.accept(
          (late ? "timed_out." : "") + why.name().toLowerCase(Locale.ROOT),
          ended.get(why.ordinal()));
    }
    to.accept("archive_servers.open", serversOpen.get());
    to.accept("archive_servers.opened", opened.get());
    to.accept("archive_servers.not_opened", notOpened.get());
    to.accept("archive_servers.reused", reused.get());
    to.accept("held_bytes", heldBytes.get());
    to.accept("bodies_refused", bodiesRefused.get());
  }
}

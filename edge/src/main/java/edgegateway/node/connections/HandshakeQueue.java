package edgegateway.node.connections;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;

/**
 * Bounds how many TLS handshakes run at once; further ones are queued in order of arrival, and
 * rejected once the queue is full. Does no I/O. For one thread.
 */
final class HandshakeQueue {
  /** A connection whose handshake has not begun. */
  interface PendingHandshake {
    /** Its turn has come. */
    void begin();
  }

  /** Queue capacity as a multiple of the handshakes that may run at once. */
  private static final int MAX_QUEUED_PER_RUNNING = 16;

  private final int maxRunning;
  private final Set<PendingHandshake> running = new HashSet<>();
  private final ArrayDeque<PendingHandshake> queue = new ArrayDeque<>();

  HandshakeQueue(int maxRunning) {
    this.maxRunning = maxRunning;
  }

  /** Begins a handshake now, or queues it; false if the queue is full. */
  boolean submit(PendingHandshake handshake) {
    if (running.size() < maxRunning) {
      running.add(handshake);
      handshake.begin();
      return true;
    }
    return queue.size() < MAX_QUEUED_PER_RUNNING * maxRunning && queue.add(handshake);
  }

  /** The handshake completed, failed, or left the queue. May be repeated. */
  void remove(PendingHandshake handshake) {
    if (!running.remove(handshake)) {
      queue.remove(handshake);
      return;
    }
    PendingHandshake next = queue.poll();
    if (next != null) {
      running.add(next);
      next.begin();
    }
  }

  int runningCount() {
    return running.size();
  }

  int queuedCount() {
    return queue.size();
  }
}

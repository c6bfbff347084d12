package edgegateway.node.connections;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;

/**
 * Limits the number of concurrent TLS handshakes; further handshakes are queued in order of arrival
 * and rejected when the queue is full. Does no I/O. Not thread-safe.
 */
final class HandshakeQueue {
  /** A TLS handshake that has not begun. */
  interface PendingHandshake {
    /** Begins the handshake. */
    void begin();
  }

  /** Queue capacity as a multiple of the concurrent handshakes. */
  private static final int MAX_QUEUED_PER_RUNNING = 16;

  private final int maxRunning;
  private final Set<PendingHandshake> running = new HashSet<>();
  private final ArrayDeque<PendingHandshake> queue = new ArrayDeque<>();

  HandshakeQueue(int maxRunning) {
    this.maxRunning = maxRunning;
  }

  /** Begins a handshake immediately or queues it; returns false if the queue is full. */
  boolean submit(PendingHandshake handshake) {
    if (running.size() < maxRunning) {
      running.add(handshake);
      handshake.begin();
      return true;
    }
    return queue.size() < MAX_QUEUED_PER_RUNNING * maxRunning && queue.add(handshake);
  }

  /** Removes a completed, failed or abandoned handshake and begins the next one; idempotent. */
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

package edgegateway.node.connections;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;

/**
 * Whose TLS handshake goes on, who waits in line for its turn, and who finds no place in the line.
 * No I/O.
 */
final class HandshakeQueue {
  /** A connection whose handshake may begin. */
  interface Waiting {
    void begin();
  }

  /** So many times as many as may run at once may wait. */
  private static final int LINE = 16;

  private final int most;
  private final Set<Waiting> running = new HashSet<>();
  private final ArrayDeque<Waiting> line = new ArrayDeque<>();

  HandshakeQueue(int most) {
    this.most = most;
  }

  /** Begins one, now or in its turn; false if the line is full. */
  boolean arrived(Waiting one) {
    if (running.size() < most) {
      running.add(one);
      one.begin();
      return true;
    }
    return line.size() < LINE * most && line.add(one);
  }

  /** It is through, has failed or has left the line; may be repeated. */
  void left(Waiting one) {
    if (running.remove(one)) {
      Waiting next = line.poll();
      if (next != null) {
        running.add(next);
        next.begin();
      }
    } else {
      line.remove(one);
    }
  }

  int running() {
    return running.size();
  }

  int waiting() {
    return line.size();
  }
}

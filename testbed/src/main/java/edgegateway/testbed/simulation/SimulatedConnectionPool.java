package edgegateway.testbed.simulation;

import edgegateway.testbed.network.NetworkPeer;
import java.util.Arrays;

/**
 * One party's connections to another, each with one request at a time; idle ones are used again
 * while their peer lives.
 */
final class SimulatedConnectionPool {
  /**
   * Hears how it went; {@code reused} connections may be closed from the other end at any moment.
   */
  interface ConnectionUser {
    /** A connection to this life of the peer. */
    void connected(int life, boolean reused);

    /** None came up in time, or nobody listens. */
    void connectFailed();
  }

  /** For idle connections that are kept for ever. */
  static final long NO_IDLE_TIMEOUT = Long.MAX_VALUE;

  private final VirtualClock clock;
  private final SimulatedNetwork network;
  private final NetworkPeer from;
  private final SimulatedPeer to;
  private final long connectTimeoutNanos;
  private final long idleTimeoutNanos;
  private final SimulationMeter meter;

  /** Since when each has been idle, the one used last at the end. */
  private long[] idleSinceNanos = new long[1];

  private int idle;
  private int idleIncarnation;

  /** Idle connections end after {@code keep} nanoseconds. */
  SimulatedConnectionPool(
      VirtualClock clock,
      SimulatedNetwork network,
      NetworkPeer from,
      SimulatedPeer to,
      long connectTimeoutNanos,
      long idleTimeoutNanos,
      SimulationMeter meter) {
    this.clock = clock;
    this.network = network;
    this.from = from;
    this.to = to;
    this.connectTimeoutNanos = connectTimeoutNanos;
    this.idleTimeoutNanos = idleTimeoutNanos;
    this.meter = meter;
  }

  /** Takes an idle connection at once, or makes a new one. */
  void acquire(ConnectionUser user) {
    if (idle() > 0) {
      idle--;
      meter.connectionAcquired(true);
      user.connected(idleIncarnation, true);
    } else {
      connect(user);
    }
  }

  /** How many are idle now. */
  int idle() {
    if (idleIncarnation != to.incarnation()) {
      idle = 0;
    }
    int expired = 0;
    while (expired < idle && clock.now() - idleSinceNanos[expired] > idleTimeoutNanos) {
      expired++;
    }
    if (expired > 0) {
      idle -= expired;
      System.arraycopy(idleSinceNanos, expired, idleSinceNanos, 0, idle);
    }
    return idle;
  }

  /** Makes a new one. */
  void connect(ConnectionUser user) {
    meter.connectionAcquired(false);
    boolean[] settled = new boolean[1];
    clock.runAfter(
        connectTimeoutNanos,
        () -> {
          if (!settled[0]) {
            settled[0] = true;
            user.connectFailed();
          }
        });
    network.send(
        from,
        to.peer(),
        () -> {
          boolean listening = to.isListening();
          int incarnation = to.incarnation();
          network.send(
              to.peer(),
              from,
              () -> {
                if (!settled[0]) {
                  settled[0] = true;
                  if (listening) {
                    user.connected(incarnation, false);
                  } else {
                    user.connectFailed();
                  }
                }
              });
        });
  }

  /** A connection is idle again. */
  void release(int incarnation) {
    if (incarnation == to.incarnation()) {
      idle = idleIncarnation == incarnation ? idle : 0;
      idleIncarnation = incarnation;
      if (idle == idleSinceNanos.length) {
        idleSinceNanos = Arrays.copyOf(idleSinceNanos, 2 * idle);
      }
      idleSinceNanos[idle++] = clock.now();
    }
  }
}

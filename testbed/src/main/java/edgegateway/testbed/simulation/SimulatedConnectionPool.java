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
    void refused();
  }

  /** For idle connections that are kept for ever. */
  static final long EVER = Long.MAX_VALUE;

  private final VirtualClock timeline;
  private final SimulatedNetwork network;
  private final NetworkPeer from;
  private final SimulatedPeer to;
  private final long timeout;
  private final long keep;
  private final SimulationMeter meter;

  /** Since when each has been idle, the one used last at the end. */
  private long[] since = new long[1];

  private int idle;
  private int idleLife;

  /** Idle connections end after {@code keep} nanoseconds. */
  SimulatedConnectionPool(
      VirtualClock timeline,
      SimulatedNetwork network,
      NetworkPeer from,
      SimulatedPeer to,
      long timeout,
      long keep,
      SimulationMeter meter) {
    this.timeline = timeline;
    this.network = network;
    this.from = from;
    this.to = to;
    this.timeout = timeout;
    this.keep = keep;
    this.meter = meter;
  }

  /** Takes an idle connection at once, or makes a new one. */
  void take(ConnectionUser user) {
    if (idle() > 0) {
      idle--;
      meter.connection(true);
      user.connected(idleLife, true);
    } else {
      connect(user);
    }
  }

  /** How many are idle now. */
  int idle() {
    if (idleLife != to.life()) {
      idle = 0;
    }
    int old = 0;
    while (old < idle && timeline.now() - since[old] > keep) {
      old++;
    }
    if (old > 0) {
      idle -= old;
      System.arraycopy(since, old, since, 0, idle);
    }
    return idle;
  }

  /** Makes a new one. */
  void connect(ConnectionUser user) {
    meter.connection(false);
    boolean[] over = new boolean[1];
    timeline.after(
        timeout,
        () -> {
          if (!over[0]) {
            over[0] = true;
            user.refused();
          }
        });
    network.pass(
        from,
        to.party(),
        () -> {
          boolean up = to.listens();
          int life = to.life();
          network.pass(
              to.party(),
              from,
              () -> {
                if (!over[0]) {
                  over[0] = true;
                  if (up) {
                    user.connected(life, false);
                  } else {
                    user.refused();
                  }
                }
              });
        });
  }

  /** A connection is idle again. */
  void release(int life) {
    if (life == to.life()) {
      idle = idleLife == life ? idle : 0;
      idleLife = life;
      if (idle == since.length) {
        since = Arrays.copyOf(since, 2 * idle);
      }
      since[idle++] = timeline.now();
    }
  }
}

package edgegateway.testbed.network;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * One direction of a link for datagrams: they are lost, come late, twice or out of order. Times are
 * nanoseconds of a clock that the caller keeps; not thread-safe.
 *
 * @param <T> what stands for a datagram
 */
public final class DatagramLink<T> {
  private static final double SECOND = 1e9;

  private record Way<T>(T what, long at, long order) {}

  private final SplittableRandom chance;
  private final PriorityQueue<Way<T>> under =
      new PriorityQueue<>(Comparator.<Way<T>>comparingLong(Way::at).thenComparingLong(Way::order));
  private long lineFree = Long.MIN_VALUE;
  private long sent;

  /** Draws losses, copies and jitter from {@code chance}. */
  public DatagramLink(SplittableRandom chance) {
    this.chance = chance;
  }

  /** A datagram is sent now. */
  public void enter(long now, T datagram, int bytes, LinkConditions as) {
    lineFree = Math.max(now, lineFree) + (as.rate() == 0 ? 0 : (long) (bytes * SECOND / as.rate()));
    if (as.cut() || as.loss() > 0 && chance.nextDouble() < as.loss()) {
      return;
    }
    int copies = as.duplicate() > 0 && chance.nextDouble() < as.duplicate() ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long jitter = as.jitter() == 0 ? 0 : chance.nextLong(as.jitter() + 1);
      under.add(new Way<>(datagram, lineFree + as.delay() + jitter, sent++));
    }
  }

  /** When the next one arrives; {@link Long#MAX_VALUE} if none is under way. */
  public long next() {
    return under.isEmpty() ? Long.MAX_VALUE : under.peek().at;
  }

  /** The next datagram that has arrived by now, or null; those that arrive at a cut are gone. */
  public T poll(long now, LinkConditions as) {
    while (!under.isEmpty() && under.peek().at <= now) {
      T first = under.poll().what;
      if (!as.cut()) {
        return first;
      }
    }
    return null;
  }
}

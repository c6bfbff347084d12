package edgegateway.testbed.network;

import java.util.ArrayDeque;
import java.util.SplittableRandom;

/**
 * One direction of a TCP connection: when the parts that enter it come out, in their order. A part
 * that is lost, or on its way when the link is cut, is sent again after a time-out that doubles
 * (RFC 6298, sections 5.5 and 2), and all that follows waits behind it. Times are nanoseconds of a
 * clock that the caller keeps; not thread-safe.
 *
 * @param <T> what stands for a part
 */
public final class TcpStreamModel<T> {
  /** Linux's least and most time until a part is sent again, in nanoseconds. */
  public static final long LEAST_TIMEOUT = 200_000_000L;

  public static final long MOST_TIMEOUT = 120_000_000_000L;

  private static final double SECOND = 1e9;

  private static final class Part<T> {
    final T what;
    final int bytes;
    long at;
    long timeout = LEAST_TIMEOUT;
    boolean lost;

    Part(T what, int bytes) {
      this.what = what;
      this.bytes = bytes;
    }
  }

  private final SplittableRandom chance;
  private final ArrayDeque<Part<T>> parts = new ArrayDeque<>();
  private long lineFree = Long.MIN_VALUE;
  private long held;

  /** Draws losses and jitter from {@code chance}. */
  public TcpStreamModel(SplittableRandom chance) {
    this.chance = chance;
  }

  /** A part is sent now; {@code bytes} may be 0, as for the end of a connection. */
  public void enter(long now, T part, int bytes, LinkConditions as) {
    Part<T> sent = new Part<>(part, bytes);
    long begun = Math.max(now, lineFree);
    lineFree = begun + (as.rate() == 0 ? 0 : (long) (bytes * SECOND / as.rate()));
    leave(sent, lineFree, as);
    parts.add(sent);
    held += bytes;
  }

  private void leave(Part<T> part, long now, LinkConditions as) {
    part.lost = as.cut() || as.loss() > 0 && chance.nextDouble() < as.loss();
    if (part.lost) {
      part.at = now + part.timeout;
      part.timeout = Math.min(MOST_TIMEOUT, 2 * part.timeout);
    } else {
      part.at = now + as.delay() + (as.jitter() == 0 ? 0 : chance.nextLong(as.jitter() + 1));
    }
  }

  /** When it is worth asking next; {@link Long#MAX_VALUE} if nothing is under way. */
  public long next() {
    return parts.isEmpty() ? Long.MAX_VALUE : parts.peek().at;
  }

  /** The next part that has come out by now, or null; to be asked until it is null. */
  public T poll(long now, LinkConditions as) {
    while (!parts.isEmpty() && parts.peek().at <= now) {
      Part<T> first = parts.peek();
      if (!first.lost && !as.cut()) {
        held -= first.bytes;
        return parts.poll().what;
      }
      if (first.lost) {
        leave(first, first.at, as);
      } else {
        // The link was cut while it was under way.
        first.lost = true;
        first.at += first.timeout;
        first.timeout = Math.min(MOST_TIMEOUT, 2 * first.timeout);
      }
    }
    return null;
  }

  /** Bytes under way. */
  public long held() {
    return held;
  }
}

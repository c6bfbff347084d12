package edgegateway.testbed.fakes;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * One run of an archive server: it takes requests into slots that share its cores evenly, lets more
 * wait, turns the rest away, warms up evenly after its start, falls over when pushed while cold,
 * drains, and drops repeats of a key. Times are nanoseconds of a clock that the caller keeps; not
 * thread-safe. Work is in nanoseconds of one core.
 *
 * @param <T> what stands for a request
 */
public final class FakeArchiveServer<T> {
  /** What becomes of a request. */
  public enum Ending {
    /** It ran to its end. */
    SERVED,
    /** A repeat of a key whose first has been served: it did not run again. */
    REPEATED,
    /** It ran, and ended in an error. */
    FAILED,
    /** Never ran: full, draining, or a repeat of what still runs. */
    TURNED_AWAY
  }

  /** A request and what became of it. */
  public record Ended<T>(T request, Ending how) {}

  /**
   * The capacity while cold changes all the time: what is done is added up in steps no longer than
   * this.
   */
  private static final long STEP = 20_000_000L;

  private static final class PendingRequest<T> {
    final T request;
    final String key;
    double left;

    PendingRequest(T request, String key, double work) {
      this.request = request;
      this.key = key;
      left = work;
    }
  }

  /** A key's first request: when it was served, or -1 while it runs. */
  private record Key(long servedAt) {}

  private final FakeArchiveServerSettings terms;
  private final long warmFrom;
  private final WarmUpWorkLimit budget;
  private final List<PendingRequest<T>> working = new ArrayList<>();
  private final ArrayDeque<PendingRequest<T>> waiting = new ArrayDeque<>();
  private final Map<String, Key> keys = new HashMap<>();
  private final ArrayDeque<Ended<T>> ended = new ArrayDeque<>();
  private long clock;
  private double pressure;
  private long fellAt = Long.MAX_VALUE;
  private double slower = 1;
  private double failing;
  private SplittableRandom chance;
  private boolean draining;

  /** Starts cold now, or as warm as if it had started at {@code startedAt}. */
  public FakeArchiveServer(FakeArchiveServerSettings terms, long now, long startedAt) {
    this.terms = terms;
    clock = now;
    warmFrom = startedAt;
    budget = new WarmUpWorkLimit(terms);
  }

  /** The share of its whole capacity that it has at a time. */
  public double warmth(long at) {
    return warmth(terms, at - warmFrom);
  }

  /** The share of its whole capacity that a server has so long after its start. */
  public static double warmth(FakeArchiveServerSettings terms, long age) {
    return terms.ramp() == 0 || age >= terms.ramp()
        ? 1
        : terms.coldFrom() + (1 - terms.coldFrom()) * age / terms.ramp();
  }

  /** When it fell over and answered nothing any more; {@link Long#MAX_VALUE} if it did not. */
  public long fellAt() {
    return fellAt;
  }

  /**
   * The most of what it may be sent while cold that it was sent in this life, as a share; above 1
   * it fell over.
   */
  public double pressure() {
    return pressure;
  }

  /** Requests in work and waiting. */
  public int inFlight() {
    return working.size() + waiting.size();
  }

  /**
   * From now on work needs {@code times} as long, 1 or more; as if all cores were so much slower.
   */
  public void slow(long now, double times) {
    advance(now);
    slower = times;
  }

  /** From now on this share of what it works on ends in an error, 0 to 1. */
  public void fail(long now, double share, SplittableRandom drawnFrom) {
    advance(now);
    failing = share;
    chance = drawnFrom;
  }

  /** Takes no new work from now on; what it has it finishes. */
  public void drain() {
    draining = true;
  }

  /**
   * A request arrives whole.
   *
   * @param key its idempotency key, or null
   * @param work what it needs, in nanoseconds of a core, above 0
   */
  public void arrive(long now, T request, String key, double work) {
    advance(now);
    if (fellAt <= now) {
      return;
    }
    double warmth = warmth(now);
    double used = budget.used(now, work, warmth * terms.cores());
    pressure = warmth < 1 ? Math.max(pressure, used) : pressure;
    if (warmth < 1 && used > 1) {
      fellAt = now;
      working.clear();
      waiting.clear();
      return;
    }
    Key first = key == null ? null : keys.get(key);
    if (first != null && (first.servedAt < 0 || now - first.servedAt < terms.keyLife())) {
      ended.add(new Ended<>(request, first.servedAt < 0 ? Ending.TURNED_AWAY : Ending.REPEATED));
    } else if (draining || inFlight() >= terms.slots() + terms.room()) {
      ended.add(new Ended<>(request, Ending.TURNED_AWAY));
    } else {
      if (key != null) {
        keys.put(key, new Key(-1));
      }
      waiting.add(new PendingRequest<>(request, key, work));
      fill();
    }
  }

  private void fill() {
    while (working.size() < terms.slots() && !waiting.isEmpty()) {
      working.add(waiting.poll());
    }
  }

  /** Work done for each request in a nanosecond. */
  private double pace(long at) {
    return Math.min(1, terms.cores() / working.size()) * warmth(at) / slower;
  }

  /** When to ask next; {@link Long#MAX_VALUE} if there is nothing to do. */
  public long next() {
    if (!ended.isEmpty()) {
      return clock;
    }
    return working.isEmpty() ? Long.MAX_VALUE : step();
  }

  /** Until when its pace counts as even: a warm server's stays as it is while nothing ends. */
  private long step() {
    return warmth(clock) < 1 ? Math.min(clock + STEP, firstDone()) : firstDone();
  }

  private long firstDone() {
    double least = working.stream().mapToDouble(job -> job.left).min().orElseThrow();
    return clock + Math.max(1, (long) Math.ceil(least / pace(clock)));
  }

  /** The next request that has ended by now, or null. */
  public Ended<T> poll(long now) {
    advance(now);
    return ended.poll();
  }

  private void advance(long now) {
    while (clock < now) {
      if (working.isEmpty()) {
        clock = now;
      } else {
        long to = Math.min(now, step());
        double done = pace(clock) * (to - clock);
        clock = to;
        finish(done);
      }
    }
  }

  private void finish(double done) {
    for (Iterator<PendingRequest<T>> jobs = working.iterator(); jobs.hasNext(); ) {
      PendingRequest<T> job = jobs.next();
      job.left -= done;
      if (job.left <= 0) {
        jobs.remove();
        boolean failed = failing > 0 && chance.nextDouble() < failing;
        ended.add(new Ended<>(job.request, failed ? Ending.FAILED : Ending.SERVED));
        if (failed) {
          keys.remove(job.key);
        } else if (job.key != null) {
          keys.put(job.key, new Key(clock));
        }
      }
    }
    keys.values().removeIf(key -> key.servedAt >= 0 && clock - key.servedAt >= terms.keyLife());
    fill();
  }
}

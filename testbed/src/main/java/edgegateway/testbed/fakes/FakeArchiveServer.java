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
  public enum Completion {
    /** It ran to its end. */
    SERVED,
    /** A repeat of a key whose first has been served: it did not run again. */
    DEDUPLICATED,
    /** It ran, and ended in an error. */
    FAILED,
    /** Never ran: full, draining, or a repeat of what still runs. */
    REJECTED
  }

  /** A request and what became of it. */
  public record Finished<T>(T request, Completion completion) {}

  /**
   * The capacity while cold changes all the time: what is done is added up in steps no longer than
   * this.
   */
  private static final long MAX_STEP_NANOS = 20_000_000L;

  private static final class PendingRequest<T> {
    final T request;
    final String key;
    double remainingWork;

    PendingRequest(T request, String key, double work) {
      this.request = request;
      this.key = key;
      remainingWork = work;
    }
  }

  /** A key's first request: when it was served, or -1 while it runs. */
  private record Key(long servedAtNanos) {}

  private final FakeArchiveServerSettings settings;
  private final long startedAtNanos;
  private final WarmUpWorkLimit warmUpLimit;
  private final List<PendingRequest<T>> inService = new ArrayList<>();
  private final ArrayDeque<PendingRequest<T>> queued = new ArrayDeque<>();
  private final Map<String, Key> keys = new HashMap<>();
  private final ArrayDeque<Finished<T>> finished = new ArrayDeque<>();
  private long clockNanos;
  private double warmUpPressure;
  private long overloadedAtNanos = Long.MAX_VALUE;
  private double slowdownFactor = 1;
  private double errorFraction;
  private SplittableRandom chance;
  private boolean draining;

  /** Starts cold now, or as warm as if it had started at {@code startedAt}. */
  public FakeArchiveServer(FakeArchiveServerSettings settings, long nowNanos, long startNanos) {
    this.settings = settings;
    clockNanos = nowNanos;
    startedAtNanos = startNanos;
    warmUpLimit = new WarmUpWorkLimit(settings);
  }

  /** The share of its whole capacity that it has at a time. */
  public double slowStartFactor(long atNanos) {
    return slowStartFactor(settings, atNanos - startedAtNanos);
  }

  /** The share of its whole capacity that a server has so long after its start. */
  public static double slowStartFactor(FakeArchiveServerSettings settings, long ageNanos) {
    return settings.slowStartNanos() == 0 || ageNanos >= settings.slowStartNanos()
        ? 1
        : settings.initialFraction()
            + (1 - settings.initialFraction()) * ageNanos / settings.slowStartNanos();
  }

  /** When it fell over and answered nothing any more; {@link Long#MAX_VALUE} if it did not. */
  public long overloadedAtNanos() {
    return overloadedAtNanos;
  }

  /**
   * The most of what it may be sent while cold that it was sent in this life, as a share; above 1
   * it fell over.
   */
  public double warmUpPressure() {
    return warmUpPressure;
  }

  /** Requests in work and waiting. */
  public int inFlight() {
    return inService.size() + queued.size();
  }

  /**
   * From now on work needs {@code times} as long, 1 or more; as if all cores were so much slower.
   */
  public void slow(long nowNanos, double times) {
    advanceTo(nowNanos);
    slowdownFactor = times;
  }

  /** From now on this share of what it works on ends in an error, 0 to 1. */
  public void fail(long nowNanos, double share, SplittableRandom drawnFrom) {
    advanceTo(nowNanos);
    errorFraction = share;
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
  public void receive(long nowNanos, T request, String key, double work) {
    advanceTo(nowNanos);
    if (overloadedAtNanos <= nowNanos) {
      return;
    }
    double factor = slowStartFactor(nowNanos);
    double usedFraction = warmUpLimit.usedFraction(nowNanos, work, factor * settings.cores());
    warmUpPressure = factor < 1 ? Math.max(warmUpPressure, usedFraction) : warmUpPressure;
    if (factor < 1 && usedFraction > 1) {
      overloadedAtNanos = nowNanos;
      inService.clear();
      queued.clear();
      return;
    }
    Key previous = key == null ? null : keys.get(key);
    if (previous != null
        && (previous.servedAtNanos < 0
            || nowNanos - previous.servedAtNanos < settings.keyLifetimeNanos())) {
      finished.add(
          new Finished<>(
              request, previous.servedAtNanos < 0 ? Completion.REJECTED : Completion.DEDUPLICATED));
    } else if (draining || inFlight() >= settings.slots() + settings.queueCapacity()) {
      finished.add(new Finished<>(request, Completion.REJECTED));
    } else {
      if (key != null) {
        keys.put(key, new Key(-1));
      }
      queued.add(new PendingRequest<>(request, key, work));
      startQueued();
    }
  }

  private void startQueued() {
    while (inService.size() < settings.slots() && !queued.isEmpty()) {
      inService.add(queued.poll());
    }
  }

  /** Work done for each request in a nanosecond. */
  private double progressPerNano(long atNanos) {
    return Math.min(1, settings.cores() / inService.size())
        * slowStartFactor(atNanos)
        / slowdownFactor;
  }

  /** When to ask next; {@link Long#MAX_VALUE} if there is nothing to do. */
  public long nextEventNanos() {
    if (!finished.isEmpty()) {
      return clockNanos;
    }
    return inService.isEmpty() ? Long.MAX_VALUE : stepEndNanos();
  }

  /** Until when its pace counts as even: a warm server's stays as it is while nothing ends. */
  private long stepEndNanos() {
    return slowStartFactor(clockNanos) < 1
        ? Math.min(clockNanos + MAX_STEP_NANOS, firstCompletionNanos())
        : firstCompletionNanos();
  }

  private long firstCompletionNanos() {
    double leastWork =
        inService.stream().mapToDouble(pending -> pending.remainingWork).min().orElseThrow();
    return clockNanos + Math.max(1, (long) Math.ceil(leastWork / progressPerNano(clockNanos)));
  }

  /** The next request that has ended by now, or null. */
  public Finished<T> poll(long nowNanos) {
    advanceTo(nowNanos);
    return finished.poll();
  }

  private void advanceTo(long nowNanos) {
    while (clockNanos < nowNanos) {
      if (inService.isEmpty()) {
        clockNanos = nowNanos;
      } else {
        long endNanos = Math.min(nowNanos, stepEndNanos());
        double workDone = progressPerNano(clockNanos) * (endNanos - clockNanos);
        clockNanos = endNanos;
        progress(workDone);
      }
    }
  }

  private void progress(double workDone) {
    for (Iterator<PendingRequest<T>> remaining = inService.iterator(); remaining.hasNext(); ) {
      PendingRequest<T> pending = remaining.next();
      pending.remainingWork -= workDone;
      if (pending.remainingWork <= 0) {
        remaining.remove();
        boolean failed = errorFraction > 0 && chance.nextDouble() < errorFraction;
        finished.add(
            new Finished<>(pending.request, failed ? Completion.FAILED : Completion.SERVED));
        if (failed) {
          keys.remove(pending.key);
        } else if (pending.key != null) {
          keys.put(pending.key, new Key(clockNanos));
        }
      }
    }
    keys.values()
        .removeIf(
            key ->
                key.servedAtNanos >= 0
                    && clockNanos - key.servedAtNanos >= settings.keyLifetimeNanos());
    startQueued();
  }
}

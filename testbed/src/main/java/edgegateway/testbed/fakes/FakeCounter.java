package edgegateway.testbed.fakes;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The shared counter: adds amounts to named numbers and tells the totals. Names lie on parts, which
 * serve calls in turn and turn them away when their line is long. Times are nanoseconds of a clock
 * that the caller keeps; not thread-safe. It never forgets a call that waits, whoever still wants
 * its answer.
 *
 * @param <T> what stands for a call
 */
public final class FakeCounter<T> {
  /** A call and the total after it; null if it was turned away and nothing was added. */
  public record Reply<T>(T call, Double total) {}

  private record Waiting<T>(T call, String name, double amount, long lifetimeNanos) {}

  private static final class Number {
    double total;
    final long expiresAtNanos;

    Number(long until) {
      this.expiresAtNanos = until;
    }
  }

  private final class Part {
    final ArrayDeque<Waiting<T>> queue = new ArrayDeque<>();
    final Map<String, Number> numbers = new HashMap<>();
    long freeAtNanos = Long.MIN_VALUE;
    boolean lost;
  }

  private final FakeCounterSettings settings;
  private final List<Part> parts = new ArrayList<>();
  private final ArrayDeque<Reply<T>> replies = new ArrayDeque<>();
  private double slowdownFactor = 1;
  private long clockNanos;

  /** Begins empty. */
  public FakeCounter(FakeCounterSettings settings, long nowNanos) {
    this.settings = settings;
    clockNanos = nowNanos;
    for (int i = 0; i < settings.parts(); i++) {
      parts.add(new Part());
    }
  }

  /** A call arrives; its amount is added when its turn comes. */
  public void call(long nowNanos, T call, String name, double amount, long lifetimeNanos) {
    advanceTo(nowNanos);
    Part part = parts.get(Math.floorMod(name.hashCode(), parts.size()));
    if (part.lost) {
      return;
    }
    if (part.queue.size() >= settings.queueCapacity()) {
      replies.add(new Reply<>(call, null));
      return;
    }
    if (part.queue.isEmpty()) {
      part.freeAtNanos = nowNanos + callDurationNanos();
    }
    part.queue.add(
        new Waiting<>(
            call, name, amount, Math.min(lifetimeNanos, FakeCounterSettings.MAX_LIFETIME_NANOS)));
  }

  private long callDurationNanos() {
    return Math.max(1, (long) (settings.callDurationNanos() * slowdownFactor));
  }

  /** How many parts it has. */
  public int parts() {
    return parts.size();
  }

  /**
   * Each call takes so many times as long from now on, 1 or more; the one in work keeps its time.
   */
  public void slow(long nowNanos, double times) {
    advanceTo(nowNanos);
    slowdownFactor = times;
  }

  /** Forgets this share of the names that it holds. */
  public void flush(long nowNanos, double share, SplittableRandom chance) {
    advanceTo(nowNanos);
    parts.forEach(part -> part.numbers.keySet().removeIf(name -> chance.nextDouble() < share));
  }

  /**
   * A part is gone with all that it held and all calls in its line; later calls to it get no
   * answer.
   */
  public void lose(long nowNanos, int part) {
    advanceTo(nowNanos);
    parts.set(part, new Part());
    parts.get(part).lost = true;
  }

  /** A part is back elsewhere, empty. */
  public void restore(long nowNanos, int part) {
    advanceTo(nowNanos);
    parts.set(part, new Part());
  }

  /** When to ask next; {@link Long#MAX_VALUE} if no call waits. */
  public long nextEventNanos() {
    return replies.isEmpty()
        ? parts.stream()
            .filter(part -> !part.queue.isEmpty())
            .mapToLong(part -> part.freeAtNanos)
            .min()
            .orElse(Long.MAX_VALUE)
        : clockNanos;
  }

  /**
   * The next answer that is due by now, or null; the answers of one part come in the order of its
   * calls.
   */
  public Reply<T> poll(long nowNanos) {
    advanceTo(nowNanos);
    return replies.poll();
  }

  private void advanceTo(long nowNanos) {
    for (Part part : parts) {
      while (!part.queue.isEmpty() && part.freeAtNanos <= nowNanos) {
        replies.add(serve(part, part.queue.poll()));
        part.freeAtNanos += callDurationNanos();
      }
    }
    clockNanos = nowNanos;
  }

  private Reply<T> serve(Part part, Waiting<T> waiting) {
    long servedAtNanos = part.freeAtNanos;
    Number number = part.numbers.get(waiting.name);
    if (number == null || number.expiresAtNanos <= servedAtNanos) {
      number = new Number(servedAtNanos + waiting.lifetimeNanos);
      part.numbers.put(waiting.name, number);
    }
    number.total += waiting.amount;
    return new Reply<>(waiting.call, number.total);
  }

  /** What a name holds, 0 if it is not known. */
  public double total(long nowNanos, String name) {
    advanceTo(nowNanos);
    Number number = parts.get(Math.floorMod(name.hashCode(), parts.size())).numbers.get(name);
    return number == null || number.expiresAtNanos <= nowNanos ? 0 : number.total;
  }
}

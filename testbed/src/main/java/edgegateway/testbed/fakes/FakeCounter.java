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
  public record Answer<T>(T call, Double total) {}

  private record Waiting<T>(T call, String name, double amount, long life) {}

  private static final class Number {
    double total;
    final long until;

    Number(long until) {
      this.until = until;
    }
  }

  private final class Part {
    final ArrayDeque<Waiting<T>> line = new ArrayDeque<>();
    final Map<String, Number> numbers = new HashMap<>();
    long free = Long.MIN_VALUE;
    boolean gone;
  }

  private final FakeCounterSettings terms;
  private final List<Part> parts = new ArrayList<>();
  private final ArrayDeque<Answer<T>> answers = new ArrayDeque<>();
  private double slowness = 1;
  private long clock;

  /** Begins empty. */
  public FakeCounter(FakeCounterSettings terms, long now) {
    this.terms = terms;
    clock = now;
    for (int i = 0; i < terms.parts(); i++) {
      parts.add(new Part());
    }
  }

  /** A call arrives; its amount is added when its turn comes. */
  public void call(long now, T call, String name, double amount, long life) {
    advance(now);
    Part part = parts.get(Math.floorMod(name.hashCode(), parts.size()));
    if (part.gone) {
      return;
    }
    if (part.line.size() >= terms.line()) {
      answers.add(new Answer<>(call, null));
      return;
    }
    if (part.line.isEmpty()) {
      part.free = now + span();
    }
    part.line.add(new Waiting<>(call, name, amount, Math.min(life, FakeCounterSettings.MOST_LIFE)));
  }

  private long span() {
    return Math.max(1, (long) (terms.perCall() * slowness));
  }

  /** How many parts it has. */
  public int parts() {
    return parts.size();
  }

  /**
   * Each call takes so many times as long from now on, 1 or more; the one in work keeps its time.
   */
  public void slow(long now, double times) {
    advance(now);
    slowness = times;
  }

  /** Forgets this share of the names that it holds. */
  public void flush(long now, double share, SplittableRandom chance) {
    advance(now);
    parts.forEach(part -> part.numbers.keySet().removeIf(name -> chance.nextDouble() < share));
  }

  /**
   * A part is gone with all that it held and all calls in its line; later calls to it get no
   * answer.
   */
  public void lose(long now, int part) {
    advance(now);
    parts.set(part, new Part());
    parts.get(part).gone = true;
  }

  /** A part is back elsewhere, empty. */
  public void restore(long now, int part) {
    advance(now);
    parts.set(part, new Part());
  }

  /** When to ask next; {@link Long#MAX_VALUE} if no call waits. */
  public long next() {
    return answers.isEmpty()
        ? parts.stream()
            .filter(part -> !part.line.isEmpty())
            .mapToLong(part -> part.free)
            .min()
            .orElse(Long.MAX_VALUE)
        : clock;
  }

  /**
   * The next answer that is due by now, or null; the answers of one part come in the order of its
   * calls.
   */
  public Answer<T> poll(long now) {
    advance(now);
    return answers.poll();
  }

  private void advance(long now) {
    for (Part part : parts) {
      while (!part.line.isEmpty() && part.free <= now) {
        answers.add(serve(part, part.line.poll()));
        part.free += span();
      }
    }
    clock = now;
  }

  private Answer<T> serve(Part part, Waiting<T> one) {
    long at = part.free;
    Number number = part.numbers.get(one.name);
    if (number == null || number.until <= at) {
      number = new Number(at + one.life);
      part.numbers.put(one.name, number);
    }
    number.total += one.amount;
    return new Answer<>(one.call, number.total);
  }

  /** What a name holds, 0 if it is not known. */
  public double total(long now, String name) {
    advance(now);
    Number number = parts.get(Math.floorMod(name.hashCode(), parts.size())).numbers.get(name);
    return number == null || number.until <= now ? 0 : number.total;
  }
}

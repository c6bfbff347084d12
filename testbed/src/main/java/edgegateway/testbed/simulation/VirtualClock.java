package edgegateway.testbed.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A clock of the model's own and what is to happen on it: in the order of time, and at one moment
 * in the order in which it was asked for. Times are nanoseconds; not thread-safe.
 */
final class VirtualClock {
  private record Entry(long at, long order, Runnable what) {}

  private final PriorityQueue<Entry> entries =
      new PriorityQueue<>(Comparator.comparingLong(Entry::at).thenComparingLong(Entry::order));
  private long now;
  private long asked;

  VirtualClock(long start) {
    now = start;
  }

  long now() {
    return now;
  }

  /** What lies in the past happens now, behind all that was to happen now already. */
  void at(long when, Runnable what) {
    entries.add(new Entry(Math.max(now, when), asked++, what));
  }

  void after(long span, Runnable what) {
    at(now + span, what);
  }

  /** Lets everything happen that is due up to a time, which then is now. */
  void run(long until) {
    while (!entries.isEmpty() && entries.peek().at <= until) {
      Entry next = entries.poll();
      now = next.at;
      next.what.run();
    }
    now = Math.max(now, until);
  }
}

package edgegateway.testbed.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A clock of the model's own and what is to happen on it: in the order of time, and at one moment
 * in the order in which it was asked for. Times are nanoseconds; not thread-safe.
 */
final class VirtualClock {
  private record Entry(long dueNanos, long order, Runnable task) {}

  private final PriorityQueue<Entry> entries =
      new PriorityQueue<>(
          Comparator.comparingLong(Entry::dueNanos).thenComparingLong(Entry::order));
  private long now;
  private long nextOrder;

  VirtualClock(long startNanos) {
    now = startNanos;
  }

  long now() {
    return now;
  }

  /** What lies in the past happens now, behind all that was to happen now already. */
  void runAt(long dueNanos, Runnable task) {
    entries.add(new Entry(Math.max(now, dueNanos), nextOrder++, task));
  }

  void runAfter(long delayNanos, Runnable task) {
    runAt(now + delayNanos, task);
  }

  /** Lets everything happen that is due up to a time, which then is now. */
  void advanceTo(long endNanos) {
    while (!entries.isEmpty() && entries.peek().dueNanos <= endNanos) {
      Entry next = entries.poll();
      now = next.dueNanos;
      next.task.run();
    }
    now = Math.max(now, endNanos);
  }
}

package edgegateway.testbed.simulation;

import edgegateway.policy.api.Outcome;
import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What the edge nodes of a modelled fleet did, all together, while it was on: connections to
 * archive servers, calls to the counter, and the processor time of the program's module by
 * activity. What lists cost is kept whether it is on or not. Not thread-safe.
 */
public final class SimulationMeter {
  /** What the module is busy with. */
  public enum Activity {
    /** A whole list, as the first. */
    FIRST_LIST(true),
    /** A whole list once more. */
    WHOLE_LIST(true),
    /** One entry of the list. */
    CHANGE(true),
    /** A request came. */
    REQUEST(false),
    /** An attempt ended. */
    ANSWER(false),
    /** A call to the counter ended. */
    COUNTED(false),
    /** Its own timer. */
    TIMER(false);

    private final boolean always;

    Activity(boolean always) {
      this.always = always;
    }

    /** Whether it is kept whenever it happens: it is rare. */
    public boolean always() {
      return always;
    }
  }

  private static final long MAX_NANOS = 60_000_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;

  private final Map<Activity, Histogram> durations = new EnumMap<>(Activity.class);
  private final Map<Outcome, Long> calls = new EnumMap<>(Outcome.class);
  private final Histogram added = new Histogram(MAX_NANOS, SIGNIFICANT_DIGITS);
  private long opened;
  private long reused;
  private long outside;
  private boolean on;

  /** Counts from now on, or no more. */
  void on(boolean counts) {
    on = counts;
  }

  /** Times something that the module does, less what its host does for it meanwhile. */
  void time(Activity activity, Runnable task) {
    if (!on && !activity.always) {
      task.run();
      return;
    }
    outside = 0;
    long startNanos = System.nanoTime();
    task.run();
    long durationNanos = System.nanoTime() - startNanos - outside;
    durations
        .computeIfAbsent(activity, any -> new Histogram(MAX_NANOS, SIGNIFICANT_DIGITS))
        .recordValue(Math.max(0, Math.min(MAX_NANOS, durationNanos)));
  }

  /** What the host does for the module. */
  void outside(Runnable task) {
    if (!on) {
      task.run();
      return;
    }
    long startNanos = System.nanoTime();
    task.run();
    outside += System.nanoTime() - startNanos;
  }

  /** A connection was taken for an attempt: an idle one again, or a new one. */
  void connectionAcquired(boolean isReused) {
    if (on) {
      opened += isReused ? 0 : 1;
      reused += isReused ? 1 : 0;
    }
  }

  /** A call to the counter ended so. */
  void counterCallEnded(Outcome outcome) {
    if (on) {
      calls.merge(outcome, 1L, Long::sum);
    }
  }

  /**
   * A request was served, in so many nanoseconds more than its server and a way there and back
   * took.
   */
  void added(long addedNanos) {
    if (on) {
      added.recordValue(Math.max(0, Math.min(MAX_NANOS, addedNanos)));
    }
  }

  /** Connections that were made. */
  public long opened() {
    return opened;
  }

  /** Connections that were used again. */
  public long reused() {
    return reused;
  }

  /** Calls to the counter that ended so; a time-out is a call without an answer in time. */
  public long calls(Outcome outcome) {
    return calls.getOrDefault(outcome, 0L);
  }

  /** What served requests took beyond their server and a way there and back, in nanoseconds. */
  public Histogram added() {
    return added;
  }

  /** How long the module took for each activity that there was, in nanoseconds. */
  public Map<Activity, Histogram> durations() {
    return durations;
  }
}

package edgegateway.node.metrics;

import edgegateway.node.connections.ConnectionMetrics;
import io.netty.util.internal.PlatformDependent;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * The metrics of a node. They are updated on its event loop, may be read on any thread, and start
 * at 0 with the process. Operators' tools depend on the metrics' names ({@code docs/operating.md}),
 * which must not change.
 */
public final class NodeMetrics {
  /** How a request ended for its client; the label is part of a metric's name. */
  public enum RequestEnd {
    /** An archive server's response was forwarded. */
    FORWARDED("passed"),
    /** It was rejected and may be retried. */
    REJECTED("dropped"),
    /** It failed, with or without effect. */
    FAILED("bad_gateway");

    private final String label;

    RequestEnd(String label) {
      this.label = label;
    }
  }

  private static final String PREFIX = "app.";
  private static final RequestEnd[] ENDS = RequestEnd.values();

  private final List<String> classes;
  private final ConnectionMetrics connections;

  /** Counts by request class and {@link RequestEnd}; the position is {@link #index}. */
  private final AtomicLongArray endedRequests;

  private final AtomicLong attempts = new AtomicLong();
  private final AtomicLong counterCalls = new AtomicLong();
  private final AtomicLong unansweredCounterCalls = new AtomicLong();
  private final AtomicInteger inProgress = new AtomicInteger();
  private final AtomicInteger listedEndpoints = new AtomicInteger();
  private final AtomicInteger skippedEndpoints = new AtomicInteger();

  private volatile long lastDiscoveryMessageNanos = System.nanoTime();

  /** Written on the event loop only, as are the other longest times. */
  private volatile long longestLoopStallNanos;

  private volatile long longestDiscoveryWaitNanos;

  private volatile long longestResponsePauseNanos;

  /** Null if only operators eject zones. */
  private volatile ZoneMetrics zones;

  private record ZoneMetrics(long ejectedZones, long voteCalls, long probes) {}

  /** {@code classes} are the names of the request classes, by index. */
  public NodeMetrics(List<String> classes, ConnectionMetrics connections) {
    this.classes = classes;
    this.connections = connections;
    endedRequests = new AtomicLongArray(classes.size() * ENDS.length);
  }

  /** Counts a request as in progress. */
  public void requestAccepted() {
    inProgress.incrementAndGet();
  }

  /**
   * Counts a request as ended; {@code end} is null if its client disconnected before the answer.
   */
  public void requestEnded(int requestClass, RequestEnd end) {
    inProgress.decrementAndGet();
    if (end != null) {
      endedRequests.incrementAndGet(index(requestClass, end));
    }
  }

  private static int index(int requestClass, RequestEnd end) {
    return requestClass * ENDS.length + end.ordinal();
  }

  /** Counts an attempt that was completely written to an archive server. */
  public void attemptWritten() {
    attempts.incrementAndGet();
  }

  /** Counts a call to the shared counter; {@code answered} unless it was rejected, late or lost. */
  public void counterCallEnded(boolean answered) {
    counterCalls.incrementAndGet();
    if (!answered) {
      unansweredCounterCalls.incrementAndGet();
    }
  }

  /** Sets the number of listed endpoints and how many of these the policy skips. */
  public void endpointsChanged(int listed, int skipped) {
    listedEndpoints.set(listed);
    skippedEndpoints.set(skipped);
  }

  /**
   * Sets the metrics of the zones' ejection by the fleet.
   *
   * @param ejectedZones number of zones that are ejected, leaving or returning
   * @param voteCalls number of calls to the shared counter for votes on zones
   * @param probes number of requests sent to an ejected zone as a half-open attempt
   */
  public void zonesChanged(long ejectedZones, long voteCalls, long probes) {
    zones = new ZoneMetrics(ejectedZones, voteCalls, probes);
  }

  /** A line arrived from discovery, or the wait for the first one begins. */
  public void discoveryMessageReceived() {
    lastDiscoveryMessageNanos = System.nanoTime();
  }

  /**
   * Time since the last line from discovery or the start of the wait for the first, in
   * milliseconds. Discovery sends a line at least every 2 s.
   */
  public long millisSinceDiscoveryMessage() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastDiscoveryMessageNanos);
  }

  /** Records by how much a timer of the policy was late because the event loop was busy. */
  public void timerFiredLate(long lateNanos) {
    longestLoopStallNanos = Math.max(longestLoopStallNanos, lateNanos);
  }

  /** Records how long after it was read a discovery message was applied to the policy. */
  public void discoveryMessageApplied(long waitNanos) {
    longestDiscoveryWaitNanos = Math.max(longestDiscoveryWaitNanos, waitNanos);
  }

  /** Records how long an archive server paused within a response before it went on. */
  public void responseContinued(long pauseNanos) {
    longestResponsePauseNanos = Math.max(longestResponsePauseNanos, pauseNanos);
  }

  /** The longest stall of the event loop since the process started, in milliseconds. */
  public long longestLoopStallMillis() {
    return TimeUnit.NANOSECONDS.toMillis(longestLoopStallNanos);
  }

  /**
   * The longest time between the reading of a discovery message and its application to the policy
   * since the process started, in milliseconds.
   */
  public long longestDiscoveryWaitMillis() {
    return TimeUnit.NANOSECONDS.toMillis(longestDiscoveryWaitNanos);
  }

  /** All metrics, one {@code name=value} per line. */
  public String render() {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < classes.size(); i++) {
      for (RequestEnd end : ENDS) {
        appendLine(
            text, "handled." + classes.get(i) + "." + end.label, endedRequests.get(index(i, end)));
      }
    }
    appendLine(text, "upstream_tries", attempts.get());
    appendLine(text, "in_progress", inProgress.get());
    appendLine(text, "known_archive_servers", listedEndpoints.get());
    appendLine(text, "skipped_archive_servers", skippedEndpoints.get());
    appendLine(text, "counter.calls", counterCalls.get());
    appendLine(text, "counter.unanswered", unansweredCounterCalls.get());
    appendLine(text, "discovery.silent_ms", millisSinceDiscoveryMessage());
    appendLine(text, "discovery.longest_wait_ms", longestDiscoveryWaitMillis());
    appendLine(text, "loop.longest_standstill_ms", longestLoopStallMillis());
    appendLine(
        text,
        "responses.longest_pause_ms",
        TimeUnit.NANOSECONDS.toMillis(longestResponsePauseNanos));
    Runtime jvm = Runtime.getRuntime();
    appendLine(text, "memory.heap_used_bytes", jvm.totalMemory() - jvm.freeMemory());
    appendLine(text, "memory.direct_used_bytes", PlatformDependent.usedDirectMemory());
    ZoneMetrics currentZones = zones;
    if (currentZones != null) {
      appendLine(text, "zones.away", currentZones.ejectedZones());
      appendLine(text, "zones.calls", currentZones.voteCalls());
      appendLine(text, "zones.trials", currentZones.probes());
    }
    connections.forEach((name, value) -> appendLine(text, "connections." + name, value));
    return text.toString();
  }

  private static void appendLine(StringBuilder text, String name, long value) {
    text.append(PREFIX).append(name).append('=').append(value).append('\n');
  }
}

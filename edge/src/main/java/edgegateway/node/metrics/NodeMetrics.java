package edgegateway.node.metrics;

import edgegateway.node.connections.ConnectionMetrics;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * What operators read of a node: counted on its event loop, read on any thread, all from 0 with the
 * process. The metrics' names are the operators' (docs/operating.md) and stay as they are.
 */
public final class NodeMetrics {
  /** How a request ended for its client. */
  public enum RequestEnd {
    /** It got an archive server's answer. */
    FORWARDED("passed"),
    /** It was rejected. */
    REJECTED("dropped"),
    /** It failed. */
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

  /** For each request class, one after the other, a count for each of {@link #ENDS}. */
  private final AtomicLongArray endedRequests;

  private final AtomicLong attempts = new AtomicLong();
  private final AtomicLong counterCalls = new AtomicLong();
  private final AtomicLong unansweredCounterCalls = new AtomicLong();
  private final AtomicInteger inProgress = new AtomicInteger();
  private final AtomicInteger listedEndpoints = new AtomicInteger();
  private final AtomicInteger skippedEndpoints = new AtomicInteger();

  private volatile long lastDiscoveryMessageNanos = System.nanoTime();

  /** Written on the event loop alone, as is the next. */
  private volatile long longestLoopStallNanos;

  private volatile long longestDiscoveryWaitNanos;

  /** Null where zones are ejected by operators alone. */
  private volatile ZoneMetrics zones;

  private record ZoneMetrics(long away, long calls, long trials) {}

  /** {@code classes} are the request classes' names, each at its index. */
  public NodeMetrics(List<String> classes, ConnectionMetrics connections) {
    this.classes = classes;
    this.connections = connections;
    endedRequests = new AtomicLongArray(classes.size() * ENDS.length);
  }

  /** A request was taken. */
  public void requestAccepted() {
    inProgress.incrementAndGet();
  }

  /** A request has ended; {@code end} is null if its client left before the answer. */
  public void requestEnded(int requestClass, RequestEnd end) {
    inProgress.decrementAndGet();
    if (end != null) {
      endedRequests.incrementAndGet(index(requestClass, end));
    }
  }

  private static int index(int requestClass, RequestEnd end) {
    return requestClass * ENDS.length + end.ordinal();
  }

  /** An attempt was written whole to an archive server. */
  public void attemptWritten() {
    attempts.incrementAndGet();
  }

  /** A call to the counter has ended; {@code answered} unless it was rejected, late or lost. */
  public void counterCallEnded(boolean answered) {
    counterCalls.incrementAndGet();
    if (!answered) {
      unansweredCounterCalls.incrementAndGet();
    }
  }

  /** How many endpoints the list holds, and how many of these are skipped. */
  public void endpointsChanged(int listed, int skipped) {
    listedEndpoints.set(listed);
    skippedEndpoints.set(skipped);
  }

  /**
   * How many zones are out or on their way by the fleet's decision, calls to the counter about
   * zones, requests sent to try one.
   */
  public void zonesChanged(long ejectedZones, long calls, long halfOpenAttempts) {
    zones = new ZoneMetrics(ejectedZones, calls, halfOpenAttempts);
  }

  /** A line of discovery came, or the first one is waited for from now on. */
  public void discoveryMessageReceived() {
    lastDiscoveryMessageNanos = System.nanoTime();
  }

  /** For how long nothing was heard of discovery, in milliseconds; a line comes every 2 s. */
  public long millisSinceDiscoveryMessage() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastDiscoveryMessageNanos);
  }

  /** A timer of the policy ran this late: for so long the loop was at something else. */
  public void timerFiredLate(long delayNanos) {
    longestLoopStallNanos = Math.max(longestLoopStallNanos, delayNanos);
  }

  /** A message of discovery reached the policy this long after it was read. */
  public void discoveryMessageApplied(long waitNanos) {
    longestDiscoveryWaitNanos = Math.max(longestDiscoveryWaitNanos, waitNanos);
  }

  /** The longest stall of the event loop since the process began, in milliseconds. */
  public long longestLoopStallMillis() {
    return TimeUnit.NANOSECONDS.toMillis(longestLoopStallNanos);
  }

  /**
   * The longest time that a message of discovery waited until the policy had it, since the process
   * began, in milliseconds.
   */
  public long longestDiscoveryWaitMillis() {
    return TimeUnit.NANOSECONDS.toMillis(longestDiscoveryWaitNanos);
  }

  /** All metrics, one {@code name=value} a line. */
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
    ZoneMetrics currentZones = zones;
    if (currentZones != null) {
      appendLine(text, "zones.away", currentZones.away());
      appendLine(text, "zones.calls", currentZones.calls());
      appendLine(text, "zones.trials", currentZones.trials());
    }
    connections.forEach((name, value) -> appendLine(text, "connections." + name, value));
    return text.toString();
  }

  private static void appendLine(StringBuilder text, String name, long value) {
    text.append(PREFIX).append(name).append('=').append(value).append('\n');
  }
}

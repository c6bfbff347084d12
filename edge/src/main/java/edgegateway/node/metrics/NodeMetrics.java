package edgegateway.node.metrics;

import edgegateway.node.connections.ConnectionMetrics;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * What operators read of an edge node: counted on its loop, read on any thread, all from 0 with the
 * process.
 */
public final class NodeMetrics {
  /** How a request ended for its client. */
  public enum RequestEnd {
    PASSED,
    DROPPED,
    BAD_GATEWAY
  }

  private static final int ENDINGS = RequestEnd.values().length;
  private static final String[] ZONES = {"zones.away", "zones.calls", "zones.trials"};
  private final List<String> classes;
  private final AtomicLongArray ended;
  private final AtomicLong tries = new AtomicLong();
  private final AtomicLong counterCalls = new AtomicLong();
  private final AtomicLong counterUnanswered = new AtomicLong();
  private final AtomicInteger inProgress = new AtomicInteger();
  private final AtomicInteger known = new AtomicInteger();
  private final AtomicInteger skipped = new AtomicInteger();

  private final ConnectionMetrics connections;
  private volatile long discoveryAt = System.nanoTime();

  /** Written on the loop alone. */
  private volatile long standstill;

  private volatile long wordWait;

  /** Zones away, calls about zones, trials; null where zones are left by hand alone. */
  private volatile long[] zones;

  public NodeMetrics(List<String> classes, ConnectionMetrics connections) {
    this.classes = classes;
    this.connections = connections;
    ended = new AtomicLongArray(classes.size() * ENDINGS);
  }

  public void taken() {
    inProgress.incrementAndGet();
  }

  /** A request has ended; {@code how} is null if its client left before the answer. */
  public void ended(int requestClass, RequestEnd how) {
    inProgress.decrementAndGet();
    if (how != null) {
      ended.incrementAndGet(requestClass * ENDINGS + how.ordinal());
    }
  }

  /** An attempt was written whole to an app server. */
  public void tried() {
    tries.incrementAndGet();
  }

  /** A call to the counter has ended; {@code answered} unless it was turned away, late or lost. */
  public void counted(boolean answered) {
    counterCalls.incrementAndGet();
    if (!answered) {
      counterUnanswered.incrementAndGet();
    }
  }

  /** How many servers the list holds, and how many of these are avoided. */
  public void servers(int listed, int avoided) {
    known.set(listed);
    skipped.set(avoided);
  }

  /**
   * How many zones are out or on their way by verdict, calls to the counter about zones, requests
   * sent to try one.
   */
  public void zones(long away, long calls, long trials) {
    zones = new long[] {away, calls, trials};
  }

  /** A line of discovery came, or the first one is waited for from now on. */
  public void discoveryHeard() {
    discoveryAt = System.nanoTime();
  }

  /** For how long nothing was heard of discovery, in milliseconds; a line comes every 2 s. */
  public long discoverySilence() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - discoveryAt);
  }

  /** A timer of the module ran so late, in nanoseconds: so long the loop was at something else. */
  public void late(long span) {
    standstill = Math.max(standstill, span);
  }

  /** Word of discovery reached the module so long after it was read, in nanoseconds. */
  public void worded(long span) {
    wordWait = Math.max(wordWait, span);
  }

  /** The worst of both since the process began, in a line. */
  public String worst() {
    return "longest standstill of the loop "
        + TimeUnit.NANOSECONDS.toMillis(standstill)
        + " ms, longest wait of discovery's word "
        + TimeUnit.NANOSECONDS.toMillis(wordWait)
        + " ms";
  }

  /** A figure a line. */
  public String render() {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < classes.size(); i++) {
      for (RequestEnd how : RequestEnd.values()) {
        line(
            text,
            "handled." + classes.get(i) + "." + how.name().toLowerCase(Locale.ROOT),
            ended.get(i * ENDINGS + how.ordinal()));
      }
    }
    line(text, "upstream_tries", tries.get());
    line(text, "in_progress", inProgress.get());
    line(text, "known_archive_servers", known.get());
    line(text, "skipped_archive_servers", skipped.get());
    line(text, "counter.calls", counterCalls.get());
    line(text, "counter.unanswered", counterUnanswered.get());
    line(text, "discovery.silent_ms", discoverySilence());
    line(text, "discovery.longest_wait_ms", TimeUnit.NANOSECONDS.toMillis(wordWait));
    line(text, "loop.longest_standstill_ms", TimeUnit.NANOSECONDS.toMillis(standstill));
    long[] byVerdict = zones;
    for (int i = 0; byVerdict != null && i < byVerdict.length; i++) {
      line(text, ZONES[i], byVerdict[i]);
    }
    connections.forEach((name, value) -> line(text, "connections." + name, value));
    return text.toString();
  }

  private static void line(StringBuilder text, String name, long value) {
    text.append("app.").append(name).append('=').append(value).append('\n');
  }
}

package edgegateway.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import edgegateway.policy.api.AttemptResult;
import edgegateway.policy.api.Endpoint;
import edgegateway.policy.api.EndpointListKind;
import edgegateway.policy.api.EndpointState;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.PolicyActions;
import edgegateway.policy.api.QuotaPlan;
import edgegateway.policy.api.Request;
import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * What the list, a request and a customer cost the module, by the size of the fleet, on a clock of
 * its own. Each figure is the median of five runs with the least and the most. Bounded in count;
 * not part of the build's tests. As an edge node's process runs: {@code
 * -DargLine="-XX:TieredStopAtLevel=1 -XX:+UseSerialGC -Xms512m -Xmx512m"}.
 */
@Tag("measure")
@Timeout(300)
class ScaleMeasure {
  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;
  private static final long SEED = 1;
  private static final int RUNS = 5;
  private static final int ZONES = 10;
  private static final int CELLS = 180;
  private static final int CUSTOMERS = 74;
  private static final int RATE = 70;
  private static final int REQUESTS = 2_100;
  private static final int LISTS = 5;
  private static final int CHANGES = 500;
  private static final int MANY = 20_000;

  /** Edge nodes and archive servers: today's size to the target's. */
  private static final int[][] SIZES = {{100, 200}, {100, 1_000}, {300, 3_000}, {950, 8_900}};

  private static final QuotaPlan PLAN = new QuotaPlan(2, 10, 0, 1, 0, 1, 0, 0, 0);
  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  /** What was weighed stays: nothing that becomes free may be taken off the next one. */
  private static final List<Node> WEIGHED = new ArrayList<>();

  /**
   * A module whose attempts are all served after 100 ms and whose calls to the counter are answered
   * after 1 ms.
   */
  private static final class Node implements PolicyActions {
    private record Attempt(long at, String id, String server) {}

    private record Call(long at, long name, double amount) {}

    private final ArrayDeque<Attempt> sent = new ArrayDeque<>();
    private final ArrayDeque<Call> called = new ArrayDeque<>();
    private final SplittableRandom chance = new SplittableRandom(SEED);
    private final GatewayPolicy policy;
    private final int nodes;
    private long nowNanos = SECOND;
    private int ids;
    private int served;

    Node(int nodes) {
      this.nodes = nodes;
      policy = new GatewayPolicy(Host.settings(PLAN, nodes, 0, true, false), SEED, nowNanos, this);
    }

    /**
     * Passes so many requests of so many customers, evenly over time, with all timers due and all
     * answers.
     */
    void requests(int count, int customers) {
      for (int i = 0; i < count; i++) {
        for (long until = nowNanos + SECOND / RATE; nowNanos < until; ) {
          nowNanos += Math.min(10 * MS, until - nowNanos);
          answers();
          policy.timerFired(nowNanos, 0);
        }
        policy.requestReceived(
            nowNanos,
            new Request(
                "r" + ids++,
                Host.IDEMPOTENT,
                0,
                chance.nextInt(customers),
                nowNanos + 3_000 * MS,
                1,
                Math.min(nodes, 3),
                0,
                false));
      }
    }

    private void answers() {
      while (!called.isEmpty() && called.peek().at + MS <= nowNanos) {
        Call call = called.poll();
        policy.counterReplied(nowNanos, call.name, Outcome.OK, call.amount);
      }
      while (!sent.isEmpty() && sent.peek().at + 100 * MS <= nowNanos) {
        Attempt one = sent.poll();
        served++;
        policy.attemptEnded(
            nowNanos,
            new AttemptResult(
                one.id, Outcome.OK, nowNanos - one.at, one.server, true, 0, 0, List.of()));
      }
    }

    @Override
    public void sendAttempt(String id, String server, long patience) {
      sent.add(new Attempt(nowNanos, id, server));
    }

    @Override
    public void addToCounter(long name, double amount, long lifetime) {
      called.add(new Call(nowNanos, name, amount));
    }

    @Override
    public void reject(String id, long retryAfter) {}

    @Override
    public void fail(String id) {}

    @Override
    public void healthCheck(String server) {}

    @Override
    public void scheduleTimer(long token, long span) {}

    @Override
    public void subscribeToEndpoints() {}

    @Override
    public void log(String text) {}
  }

  private static Endpoint server(int number, long startedAt) {
    return new Endpoint(
        "s-" + Integer.toHexString(0x5be00000 + number),
        1,
        number % ZONES,
        number % CELLS,
        0,
        EndpointState.READY,
        startedAt);
  }

  private static List<Endpoint> list(int servers) {
    List<Endpoint> all = new ArrayList<>();
    for (int i = 0; i < servers; i++) {
      all.add(server(i, 0));
    }
    return all;
  }

  /** Nanoseconds and allocated bytes of one of {@code times} goes. */
  private static double[] cost(int times, Runnable all) {
    long bytes = THREADS.getCurrentThreadAllocatedBytes();
    long begun = System.nanoTime();
    all.run();
    long took = System.nanoTime() - begun;
    return new double[] {
      (double) took / times, (double) (THREADS.getCurrentThreadAllocatedBytes() - bytes) / times
    };
  }

  private static double[] listed(int[] size) {
    Node node = new Node(size[0]);
    node.policy.endpointsUpdated(node.nowNanos, EndpointListKind.FULL, list(size[1]));
    List<Endpoint> again = list(size[1]);
    return cost(
        LISTS,
        () -> {
          for (int i = 0; i < LISTS; i++) {
            node.policy.endpointsUpdated(++node.nowNanos, EndpointListKind.FULL, again);
          }
        });
  }

  private static double[] first(int[] size) {
    List<Node> nodes = new ArrayList<>();
    for (int i = 0; i < LISTS; i++) {
      nodes.add(new Node(size[0]));
    }
    List<Endpoint> list = list(size[1]);
    return cost(
        LISTS,
        () ->
            nodes.forEach(
                node -> node.policy.endpointsUpdated(node.nowNanos, EndpointListKind.FULL, list)));
  }

  private static double[] changed(int[] size) {
    Node node = new Node(size[0]);
    node.policy.endpointsUpdated(node.nowNanos, EndpointListKind.FULL, list(size[1]));
    List<List<Endpoint>> changes = new ArrayList<>();
    for (int i = 0; i < CHANGES; i++) {
      changes.add(List.of(server(i * 7 % size[1], SECOND)));
    }
    return cost(
        CHANGES,
        () ->
            changes.forEach(
                change ->
                    node.policy.endpointsUpdated(++node.nowNanos, EndpointListKind.DELTA, change)));
  }

  private static double[] asked(int[] size) {
    Node node = new Node(size[0]);
    node.policy.endpointsUpdated(node.nowNanos, EndpointListKind.FULL, list(size[1]));
    node.requests(REQUESTS / 3, CUSTOMERS);
    int before = node.served;
    double[] cost = cost(REQUESTS, () -> node.requests(REQUESTS, CUSTOMERS));
    assertTrue(
        node.served - before > REQUESTS / 2,
        "seed " + SEED + ": served " + (node.served - before) + " of " + REQUESTS);
    return cost;
  }

  private static long heap() {
    Runtime runtime = Runtime.getRuntime();
    long least = Long.MAX_VALUE;
    for (int i = 0; i < 3; i++) {
      System.gc();
      least = Math.min(least, runtime.totalMemory() - runtime.freeMemory());
    }
    return least;
  }

  /** Bytes that stay for each listed server, the entry's own strings with them. */
  private static double[] heldByServer(int[] size) {
    Node node = new Node(size[0]);
    WEIGHED.add(node);
    long before = heap();
    node.policy.endpointsUpdated(node.nowNanos, EndpointListKind.FULL, list(size[1]));
    double bytes = heap() - before;
    assertEquals(0, node.policy.skippedEndpoints().size());
    return new double[] {bytes / size[1], 0};
  }

  /** Bytes that stay for each customer that asked once. */
  private static double[] heldByCustomer(int[] size) {
    Node node = new Node(size[0]);
    node.policy.endpointsUpdated(node.nowNanos, EndpointListKind.FULL, list(size[1]));
    node.requests(RATE, CUSTOMERS);
    WEIGHED.add(node);
    long before = heap();
    for (int i = 0; i < MANY; i++) {
      node.policy.requestReceived(
          node.nowNanos,
          new Request(
              "m" + i,
              Host.IDEMPOTENT,
              0,
              CUSTOMERS + i,
              node.nowNanos + 3_000 * MS,
              1,
              3,
              0,
              false));
      node.nowNanos += MS / 10;
      node.answers();
    }
    node.nowNanos += 200 * MS;
    node.answers();
    node.called.clear();
    double bytes = heap() - before;
    assertTrue(node.policy.exportState(node.nowNanos).quotaUsages().size() >= MANY);
    return new double[] {bytes / MANY, 0};
  }

  private interface Measure {
    double[] of(int[] size);
  }

  private static void row(String name, String unit, double scale, Measure measure) {
    for (int[] size : SIZES) {
      double[] spans = new double[RUNS];
      double[] bytes = new double[RUNS];
      measure.of(size);
      for (int i = 0; i < RUNS; i++) {
        double[] one = measure.of(size);
        spans[i] = one[0] / scale;
        bytes[i] = one[1];
      }
      Arrays.sort(spans);
      Arrays.sort(bytes);
      System.out.printf(
          Locale.ROOT,
          "%-34s %4d x %-5d %10.2f (%.2f to %.2f) %s%s%n",
          name,
          size[0],
          size[1],
          spans[RUNS / 2],
          spans[0],
          spans[RUNS - 1],
          unit,
          bytes[RUNS / 2] > 0
              ? String.format(Locale.ROOT, ", allocates %.0f bytes", bytes[RUNS / 2])
              : "");
    }
  }

  @Test
  void slopes() {
    row("whole list, all new", "ms", MS, ScaleMeasure::first);
    row("whole list again", "ms", MS, ScaleMeasure::listed);
    row("one changed entry", "us", 1_000, ScaleMeasure::changed);
    row("request with answer and timers", "us", 1_000, ScaleMeasure::asked);
    row("heap for a listed server", "bytes", 1, ScaleMeasure::heldByServer);
    row("heap for a customer", "bytes", 1, ScaleMeasure::heldByCustomer);
  }
}

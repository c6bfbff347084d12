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
 * Measures what endpoint lists, requests and customers cost the policy in time and memory, by fleet
 * size, on a simulated clock. Each printed figure is the median of five runs, with the minimum and
 * the maximum. Not part of the build's tests; run it with the JVM options of an edge node: {@code
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
  private static final int REQUESTS_PER_SECOND = 70;
  private static final int REQUESTS = 2_100;
  private static final int LISTS = 5;
  private static final int CHANGES = 500;
  private static final int MANY_CUSTOMERS = 20_000;

  /** Numbers of edge nodes and archive servers, from the present size to the planned one. */
  private static final int[][] FLEET_SIZES = {{100, 200}, {100, 1_000}, {300, 3_000}, {950, 8_900}};

  private static final QuotaPlan PLAN = new QuotaPlan(2, 10, 0, 1, 0, 1, 0, 0, 0);
  private static final ThreadMXBean THREAD_BEAN =
      (ThreadMXBean) ManagementFactory.getThreadMXBean();

  /**
   * Keeps the policies whose heap was measured reachable: if one were collected during a later
   * measurement, the later figure would be too small.
   */
  private static final List<MeasuredNode> RETAINED = new ArrayList<>();

  /**
   * Hosts one policy: answers each attempt after 100 ms and each call to the counter after 1 ms.
   */
  private static final class MeasuredNode implements PolicyActions {
    private record Attempt(long sentAtNanos, String requestId, String endpointId) {}

    private record CounterCall(long sentAtNanos, long key, double amount) {}

    private final ArrayDeque<Attempt> attempts = new ArrayDeque<>();
    private final ArrayDeque<CounterCall> counterCalls = new ArrayDeque<>();
    private final SplittableRandom random = new SplittableRandom(SEED);
    private final GatewayPolicy policy;
    private final int nodeCount;
    private long nowNanos = SECOND;
    private int requestIds;
    private int served;

    MeasuredNode(int nodeCount) {
      this.nodeCount = nodeCount;
      policy =
          new GatewayPolicy(Host.settings(PLAN, nodeCount, 0, true, false), SEED, nowNanos, this);
    }

    /** Reports requests at an even rate; meanwhile fires the timer and delivers due answers. */
    void receiveRequests(int count, int customers) {
      for (int i = 0; i < count; i++) {
        for (long untilNanos = nowNanos + SECOND / REQUESTS_PER_SECOND; nowNanos < untilNanos; ) {
          nowNanos += Math.min(10 * MS, untilNanos - nowNanos);
          deliverAnswers();
          policy.timerFired(nowNanos, 0);
        }
        policy.requestReceived(
            nowNanos,
            new Request(
                "r" + requestIds++,
                Host.IDEMPOTENT,
                0,
                random.nextInt(customers),
                nowNanos + 3_000 * MS,
                1,
                Math.min(nodeCount, 3),
                0,
                false));
      }
    }

    /** Ends the counter calls and attempts whose answers are due. */
    private void deliverAnswers() {
      while (!counterCalls.isEmpty() && counterCalls.peek().sentAtNanos + MS <= nowNanos) {
        CounterCall call = counterCalls.poll();
        policy.counterReplied(nowNanos, call.key, Outcome.OK, call.amount);
      }
      while (!attempts.isEmpty() && attempts.peek().sentAtNanos + 100 * MS <= nowNanos) {
        Attempt attempt = attempts.poll();
        served++;
        policy.attemptEnded(
            nowNanos,
            new AttemptResult(
                attempt.requestId,
                Outcome.OK,
                nowNanos - attempt.sentAtNanos,
                attempt.endpointId,
                true,
                0,
                0,
                List.of()));
      }
    }

    @Override
    public void sendAttempt(String requestId, String endpointId, long timeoutNanos) {
      attempts.add(new Attempt(nowNanos, requestId, endpointId));
    }

    @Override
    public void addToCounter(long key, double amount, long lifetimeNanos) {
      counterCalls.add(new CounterCall(nowNanos, key, amount));
    }

    @Override
    public void reject(String requestId, long retryAfterNanos) {}

    @Override
    public void fail(String requestId) {}

    @Override
    public void healthCheck(String endpointId) {}

    @Override
    public void scheduleTimer(long token, long delayNanos) {}

    @Override
    public void subscribeToEndpoints() {}

    @Override
    public void log(String message) {}
  }

  private static Endpoint endpoint(int index, long startedAtNanos) {
    return new Endpoint(
        "s-" + Integer.toHexString(0x5be00000 + index),
        1,
        index % ZONES,
        index % CELLS,
        0,
        EndpointState.READY,
        startedAtNanos);
  }

  private static List<Endpoint> endpoints(int count) {
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      endpoints.add(endpoint(i, 0));
    }
    return endpoints;
  }

  /**
   * Runs an action that consists of {@code steps} equal steps; returns the nanoseconds and the
   * allocated bytes of one step.
   */
  private static double[] cost(int steps, Runnable action) {
    long bytesBefore = THREAD_BEAN.getCurrentThreadAllocatedBytes();
    long startNanos = System.nanoTime();
    action.run();
    long durationNanos = System.nanoTime() - startNanos;
    return new double[] {
      (double) durationNanos / steps,
      (double) (THREAD_BEAN.getCurrentThreadAllocatedBytes() - bytesBefore) / steps
    };
  }

  private static double[] repeatedListCost(int[] fleetSize) {
    MeasuredNode node = new MeasuredNode(fleetSize[0]);
    node.policy.endpointsUpdated(node.nowNanos, EndpointListKind.FULL, endpoints(fleetSize[1]));
    List<Endpoint> repeated = endpoints(fleetSize[1]);
    return cost(
        LISTS,
        () -> {
          for (int i = 0; i < LISTS; i++) {
            node.policy.endpointsUpdated(++node.nowNanos, EndpointListKind.FULL, repeated);
          }
        });
  }

  private static double[] firstListCost(int[] fleetSize) {
    List<MeasuredNode> nodes = new ArrayList<>();
    for (int i = 0; i < LISTS; i++) {
      nodes.add(new MeasuredNode(fleetSize[0]));
    }
    List<Endpoint> list = endpoints(fleetSize[1]);
    return cost(
        LISTS,
        () ->
            nodes.forEach(
                node -> node.policy.endpointsUpdated(node.nowNanos, EndpointListKind.FULL, list)));
  }

  private static double[] changedEntryCost(int[] fleetSize) {
    MeasuredNode node = new MeasuredNode(fleetSize[0]);
    node.policy.endpointsUpdated(node.nowNanos, EndpointListKind.FULL, endpoints(fleetSize[1]));
    List<List<Endpoint>> changes = new ArrayList<>();
    for (int i = 0; i < CHANGES; i++) {
      changes.add(List.of(endpoint(i * 7 % fleetSize[1], SECOND)));
    }
    return cost(
        CHANGES,
        () ->
            changes.forEach(
                change ->
                    node.policy.endpointsUpdated(++node.nowNanos, EndpointListKind.DELTA, change)));
  }

  private static double[] requestCost(int[] fleetSize) {
    MeasuredNode node = new MeasuredNode(fleetSize[0]);
    node.policy.endpointsUpdated(node.nowNanos, EndpointListKind.FULL, endpoints(fleetSize[1]));
    node.receiveRequests(REQUESTS / 3, CUSTOMERS);
    int servedBefore = node.served;
    double[] cost = cost(REQUESTS, () -> node.receiveRequests(REQUESTS, CUSTOMERS));
    assertTrue(
        node.served - servedBefore > REQUESTS / 2,
        "seed " + SEED + ": served " + (node.served - servedBefore) + " of " + REQUESTS);
    return cost;
  }

  private static long usedHeapBytes() {
    Runtime runtime = Runtime.getRuntime();
    long minBytes = Long.MAX_VALUE;
    for (int i = 0; i < 3; i++) {
      System.gc();
      minBytes = Math.min(minBytes, runtime.totalMemory() - runtime.freeMemory());
    }
    return minBytes;
  }

  /** Heap bytes for each listed endpoint, including the strings of its list entry. */
  private static double[] heapPerEndpoint(int[] fleetSize) {
    MeasuredNode node = new MeasuredNode(fleetSize[0]);
    RETAINED.add(node);
    long bytesBefore = usedHeapBytes();
    node.policy.endpointsUpdated(node.nowNanos, EndpointListKind.FULL, endpoints(fleetSize[1]));
    double bytes = usedHeapBytes() - bytesBefore;
    assertEquals(0, node.policy.skippedEndpoints().size());
    return new double[] {bytes / fleetSize[1], 0};
  }

  /** Heap bytes for each customer with one past request. */
  private static double[] heapPerCustomer(int[] fleetSize) {
    MeasuredNode node = new MeasuredNode(fleetSize[0]);
    node.policy.endpointsUpdated(node.nowNanos, EndpointListKind.FULL, endpoints(fleetSize[1]));
    node.receiveRequests(REQUESTS_PER_SECOND, CUSTOMERS);
    RETAINED.add(node);
    long bytesBefore = usedHeapBytes();
    for (int i = 0; i < MANY_CUSTOMERS; i++) {
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
      node.deliverAnswers();
    }
    node.nowNanos += 200 * MS;
    node.deliverAnswers();
    node.counterCalls.clear();
    double bytes = usedHeapBytes() - bytesBefore;
    assertTrue(node.policy.exportState(node.nowNanos).quotaUsages().size() >= MANY_CUSTOMERS);
    return new double[] {bytes / MANY_CUSTOMERS, 0};
  }

  private interface Measurement {
    /** Returns a time in nanoseconds or a size in bytes, and the allocated bytes or 0. */
    double[] run(int[] fleetSize);
  }

  /**
   * Prints a line for each fleet size; {@code scale} is the printed unit in nanoseconds or bytes.
   */
  private static void printMeasurement(
      String name, String unit, double scale, Measurement measurement) {
    for (int[] fleetSize : FLEET_SIZES) {
      double[] values = new double[RUNS];
      double[] allocatedBytes = new double[RUNS];
      measurement.run(fleetSize);
      for (int i = 0; i < RUNS; i++) {
        double[] result = measurement.run(fleetSize);
        values[i] = result[0] / scale;
        allocatedBytes[i] = result[1];
      }
      Arrays.sort(values);
      Arrays.sort(allocatedBytes);
      System.out.printf(
          Locale.ROOT,
          "%-34s %4d x %-5d %10.2f (%.2f to %.2f) %s%s%n",
          name,
          fleetSize[0],
          fleetSize[1],
          values[RUNS / 2],
          values[0],
          values[RUNS - 1],
          unit,
          allocatedBytes[RUNS / 2] > 0
              ? String.format(Locale.ROOT, ", allocates %.0f bytes", allocatedBytes[RUNS / 2])
              : "");
    }
  }

  @Test
  void costByFleetSize() {
    printMeasurement("complete list, all new", "ms", MS, ScaleMeasure::firstListCost);
    printMeasurement("complete list, unchanged", "ms", MS, ScaleMeasure::repeatedListCost);
    printMeasurement("one changed entry", "us", 1_000, ScaleMeasure::changedEntryCost);
    printMeasurement("request with answer and timers", "us", 1_000, ScaleMeasure::requestCost);
    printMeasurement("heap for a listed endpoint", "bytes", 1, ScaleMeasure::heapPerEndpoint);
    printMeasurement("heap for a customer", "bytes", 1, ScaleMeasure::heapPerCustomer);
  }
}

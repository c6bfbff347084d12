package edgegateway.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.policy.api.AttemptResult;
import edgegateway.policy.api.Endpoint;
import edgegateway.policy.api.EndpointListKind;
import edgegateway.policy.api.EndpointState;
import edgegateway.policy.api.Outcome;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Simulates a fleet of nodes and checks that all of them together send no more to an endpoint in
 * slow start than it may be sent.
 */
class ColdFleetTest {
  private static final long MS = 1_000_000L;

  /** The requests sent to an endpoint are counted over this time. */
  private static final long WINDOW_NANOS = 2_000 * MS;

  private static final long SLOW_START_NANOS = 10_000 * MS;
  private static final int ENDPOINTS = 20;
  private static final int CORES_PER_ENDPOINT = 4;

  /** An endpoint rejects further requests while it has this many. */
  private static final int MAX_CONCURRENT_REQUESTS = 40;

  private static final double SERVICE_SECONDS = 0.2;
  private static final double SLOW_START_INITIAL_FRACTION = 0.25;

  /** The end of an attempt, at a time to come. */
  private record AttemptEnd(
      long atNanos,
      int node,
      String requestId,
      String endpointId,
      long sentAtNanos,
      Outcome outcome) {}

  private final List<Host> nodes = new ArrayList<>();

  /**
   * Times, in nanoseconds, of the attempts sent to an endpoint in slow start in the last window.
   */
  private final Map<String, ArrayDeque<Long>> sentTimes = new HashMap<>();

  private final Map<String, Integer> inFlight = new HashMap<>();
  private final PriorityQueue<AttemptEnd> attemptEnds =
      new PriorityQueue<>(Comparator.comparingLong(AttemptEnd::atNanos));
  private long slowStartBeginNanos;
  private double maxSentFraction;
  private double allowedFactor;

  /** The fraction of its capacity that an endpoint has; the first {@code warming} restarted. */
  private double capacityFraction(String endpointId, long nowNanos, int warming) {
    boolean inSlowStart = Integer.parseInt(endpointId.substring(1)) < warming;
    return inSlowStart
        ? Math.min(
            1,
            SLOW_START_INITIAL_FRACTION
                + (1 - SLOW_START_INITIAL_FRACTION)
                    * (nowNanos - slowStartBeginNanos)
                    / SLOW_START_NANOS)
        : 1;
  }

  /** Delivers the attempts that a node has sent since its attempt number {@code from}. */
  private void deliver(int node, int from, SplittableRandom random, int warming, int failing) {
    Host host = nodes.get(node);
    for (Host.Attempt attempt : host.attempts.subList(from, host.attempts.size())) {
      String endpointId = attempt.endpointId();
      double capacityFraction = capacityFraction(endpointId, host.nowNanos, warming);
      if (Integer.parseInt(endpointId.substring(1)) < warming) {
        ArrayDeque<Long> window = sentTimes.computeIfAbsent(endpointId, key -> new ArrayDeque<>());
        window.add(host.nowNanos);
        while (window.peek() < host.nowNanos - WINDOW_NANOS) {
          window.poll();
        }
        double allowed =
            allowedFactor
                * capacityFraction
                * CORES_PER_ENDPOINT
                * WINDOW_NANOS
                / 1e9
                / SERVICE_SECONDS;
        maxSentFraction =
            Math.max(maxSentFraction, (window.size() - 2 * Math.sqrt(allowed) - 2) / allowed);
      }
      int concurrent = inFlight.merge(endpointId, 1, Integer::sum);
      boolean fails = Integer.parseInt(endpointId.substring(1)) < failing;
      double serviceSeconds = -SERVICE_SECONDS * Math.log(1 - random.nextDouble());
      double durationSeconds =
          fails
              ? 0.002
              : concurrent > MAX_CONCURRENT_REQUESTS
                  ? 0.001
                  : serviceSeconds
                      * Math.max(1, concurrent / (CORES_PER_ENDPOINT * capacityFraction));
      Outcome outcome =
          fails
              ? Outcome.ERROR
              : concurrent > MAX_CONCURRENT_REQUESTS
                  ? Outcome.REJECTED
                  : durationSeconds * 1e9 > attempt.timeoutNanos() ? Outcome.TIMEOUT : Outcome.OK;
      attemptEnds.add(
          new AttemptEnd(
              host.nowNanos + (long) Math.min(durationSeconds * 1e9, attempt.timeoutNanos()),
              node,
              attempt.requestId(),
              endpointId,
              host.nowNanos,
              outcome));
    }
  }

  /**
   * Simulates 12 s of a fleet in which some endpoints restart after 3 s.
   *
   * @param warming number of endpoints that restart
   * @param failing number of endpoints that answer each request with an error, the first ones
   * @param load requests in parts of what all endpoints can serve
   * @return the maximum number of attempts that an endpoint in slow start was sent in a window,
   *     less two standard deviations and 2, as a fraction of the number allowed
   */
  private double simulate(int nodeCount, int warming, int failing, double load, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    nodes.clear();
    sentTimes.clear();
    inFlight.clear();
    attemptEnds.clear();
    maxSentFraction = 0;
    // If other endpoints are past their slow start, one in slow start may get no more than its
    // present capacity. If all are in slow start, it may get twice that, which is less than the
    // overload factor of any site.
    allowedFactor = warming == ENDPOINTS ? 2 : 1;
    double[] weights = new double[nodeCount];
    double weightSum = 0;
    for (int i = 0; i < nodeCount; i++) {
      nodes.add(new Host(Host.UNLIMITED_PLAN, nodeCount, i, false, random.nextLong(), false));
      weights[i] = Math.pow(random.nextDouble(), 2) + 0.1;
      weightSum += weights[i];
    }
    long nowNanos = nodes.get(0).nowNanos;
    slowStartBeginNanos = Long.MAX_VALUE;
    double requestsPerSecond = load * ENDPOINTS * CORES_PER_ENDPOINT / SERVICE_SECONDS;
    long endNanos = nowNanos + 12_000 * MS;
    long restartNanos = nowNanos + 3_000 * MS;
    long nextTimerNanos = nowNanos;
    long nextRequestNanos = nowNanos;
    while (nowNanos < endNanos) {
      long nextEndNanos = attemptEnds.isEmpty() ? Long.MAX_VALUE : attemptEnds.peek().atNanos;
      nowNanos = Math.min(Math.min(nextTimerNanos, nextRequestNanos), nextEndNanos);
      if (nowNanos >= restartNanos && slowStartBeginNanos == Long.MAX_VALUE
          || slowStartBeginNanos == Long.MAX_VALUE
              && nextTimerNanos == nowNanos
              && nowNanos == nodes.get(0).nowNanos) {
        boolean restarts = nowNanos >= restartNanos;
        slowStartBeginNanos = restarts ? nowNanos : slowStartBeginNanos;
        listEndpoints(nowNanos, restarts ? warming : 0);
      }
      for (Host host : nodes) {
        host.nowNanos = nowNanos;
      }
      if (nowNanos == nextEndNanos) {
        AttemptEnd end = attemptEnds.poll();
        inFlight.merge(end.endpointId, -1, Integer::sum);
        Host host = nodes.get(end.node);
        int from = host.attempts.size();
        host.policy.attemptEnded(
            nowNanos,
            new AttemptResult(
                end.requestId,
                end.outcome,
                nowNanos - end.sentAtNanos,
                end.endpointId,
                end.outcome == Outcome.OK,
                0,
                0,
                List.of()));
        deliver(end.node, from, random, slowStartBeginNanos <= nowNanos ? warming : 0, failing);
      } else if (nowNanos == nextRequestNanos) {
        nextRequestNanos =
            nowNanos - (long) (1e9 / requestsPerSecond * Math.log(1 - random.nextDouble()));
        double drawn = random.nextDouble() * weightSum;
        int node = 0;
        while (node < nodeCount - 1 && (drawn -= weights[node]) > 0) {
          node++;
        }
        int from = nodes.get(node).attempts.size();
        nodes.get(node).request(Host.IDEMPOTENT, 1);
        deliver(node, from, random, slowStartBeginNanos <= nowNanos ? warming : 0, failing);
      } else {
        nextTimerNanos = nowNanos + 10 * MS;
        for (int node = 0; node < nodeCount; node++) {
          int from = nodes.get(node).attempts.size();
          nodes.get(node).policy.timerFired(nowNanos, 0);
          deliver(node, from, random, slowStartBeginNanos <= nowNanos ? warming : 0, failing);
        }
      }
    }
    return maxSentFraction;
  }

  /** Gives all nodes a full list in which the first {@code warming} endpoints have restarted. */
  private void listEndpoints(long nowNanos, int warming) {
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < ENDPOINTS; i++) {
      endpoints.add(
          new Endpoint(
              "s" + i, 1, 0, 0, 0, EndpointState.READY, i < warming ? slowStartBeginNanos : 0));
    }
    for (Host host : nodes) {
      host.nowNanos = nowNanos;
      host.policy.endpointsUpdated(nowNanos, EndpointListKind.FULL, endpoints);
    }
  }

  /**
   * With N attempts allowed in a window, up to 2 x sqrt(N) + 2 more are put down to chance, however
   * many nodes send.
   */
  @Test
  void allNodesTogetherKeepToTheLimitOfEndpointsInSlowStart() {
    StringBuilder report = new StringBuilder();
    double worst = 0;
    for (int nodeCount : new int[] {2, 20, 30}) {
      for (int warming : new int[] {2, 10, ENDPOINTS}) {
        for (int failing : new int[] {0, 1}) {
          for (double load : new double[] {0.3, 0.8}) {
            double fraction = 0;
            for (long seed = 1; seed <= 4; seed++) {
              fraction = Math.max(fraction, simulate(nodeCount, warming, failing, load, seed));
            }
            worst = Math.max(worst, fraction);
            report.append(
                String.format(
                    "%n%d nodes, %d of %d in slow start, %d failing, load %.1f: %.2f",
                    nodeCount, warming, ENDPOINTS, failing, load, fraction));
          }
        }
      }
    }
    System.out.println(
        "sent to an endpoint in slow start, less chance, as a fraction of the limit:" + report);
    assertTrue(worst <= 1, report.toString());
  }
}

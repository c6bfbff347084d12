package edgegateway.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.policy.api.AttemptResult;
import edgegateway.policy.api.CounterSettings;
import edgegateway.policy.api.DeduplicationScope;
import edgegateway.policy.api.Endpoint;
import edgegateway.policy.api.EndpointListKind;
import edgegateway.policy.api.EndpointState;
import edgegateway.policy.api.Idempotency;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.PlatformRules;
import edgegateway.policy.api.PolicyActions;
import edgegateway.policy.api.PolicySettings;
import edgegateway.policy.api.QuotaPlan;
import edgegateway.policy.api.Request;
import edgegateway.policy.api.RequestClass;
import edgegateway.policy.api.RequestLimits;
import java.util.ArrayList;
import java.util.List;

/**
 * Drives one {@link GatewayPolicy} in a test: records the actions that the policy requests, and
 * reports requests, attempt ends and timers to it on a clock that the test sets.
 */
final class Host implements PolicyActions {
  static final long MS = 1_000_000L;

  /** Index of the request class whose requests may be executed more than once. */
  static final int IDEMPOTENT = 0;

  /** Index of the request class with an idempotency key that the endpoints of a cell share. */
  static final int KEYED_CELL = 1;

  /** Index of the request class whose requests must not be executed more than once. */
  static final int NOT_IDEMPOTENT = 2;

  /** Index of the request class with an idempotency key that all endpoints share. */
  static final int KEYED_ALL = 3;

  /** A plan without quota, ceiling and concurrency cap. */
  static final QuotaPlan UNLIMITED_PLAN = new QuotaPlan(0, 0, 0, 1, 0, 0, 0, 0, 0);

  record Attempt(String requestId, String endpointId, long timeoutNanos) {}

  record CounterCall(long key, double amount) {}

  final List<Attempt> attempts = new ArrayList<>();

  /** Ids of the rejected requests. */
  final List<String> rejected = new ArrayList<>();

  /** The Retry-After of each rejected request; 0 if there was none. */
  final List<Long> retryAfterNanos = new ArrayList<>();

  /** Ids of the failed requests. */
  final List<String> failed = new ArrayList<>();

  /** Ids of the endpoints whose health was to be checked. */
  final List<String> healthChecks = new ArrayList<>();

  /** Calls to the shared counter; the test replies to them and clears the list. */
  final List<CounterCall> counterCalls = new ArrayList<>();

  final List<String> logs = new ArrayList<>();
  final GatewayPolicy policy;
  long nowNanos = 1_000 * MS;
  private final int nodeCount;
  private final boolean healthChecksAllowed;
  private int requestCount;

  Host(QuotaPlan plan, int nodeCount, int nodeIndex) {
    this(plan, nodeCount, nodeIndex, true);
  }

  Host(QuotaPlan plan, int nodeCount, int nodeIndex, boolean hasCounter) {
    this(plan, nodeCount, nodeIndex, hasCounter, 7, false);
  }

  Host(
      QuotaPlan plan,
      int nodeCount,
      int nodeIndex,
      boolean hasCounter,
      long seed,
      boolean healthChecksAllowed) {
    this.nodeCount = nodeCount;
    this.healthChecksAllowed = healthChecksAllowed;
    policy =
        new GatewayPolicy(
            settings(plan, nodeCount, nodeIndex, hasCounter, healthChecksAllowed),
            seed,
            nowNanos,
            this);
  }

  static PolicySettings settings(
      QuotaPlan plan,
      int nodeCount,
      int nodeIndex,
      boolean hasCounter,
      boolean healthChecksAllowed) {
    return new PolicySettings(
        nodeIndex,
        nodeCount,
        0,
        MS,
        true,
        healthChecksAllowed ? List.of("waiting") : List.of(),
        List.of(
            new RequestClass(
                1000 * MS, 3000 * MS, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 0, 1),
            new RequestClass(
                1000 * MS, 2000 * MS, Idempotency.KEYED, DeduplicationScope.CELL, 700 * MS, 0.2, 4),
            new RequestClass(
                1000 * MS,
                3000 * MS,
                Idempotency.NOT_IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                0.2,
                3),
            new RequestClass(
                1000 * MS, 3000 * MS, Idempotency.KEYED, DeduplicationScope.ALL, 700 * MS, 0, 4)),
        List.of(plan),
        new RequestLimits(4, 1000, healthChecksAllowed, true, 500 * MS, false),
        new CounterSettings(hasCounter, 50 * MS, true, 4),
        new PlatformRules(10 * MS, 0.25, 10_000 * MS, 3, 2_000 * MS));
  }

  /** Lists endpoints a, b, c and so on, alternately in cell and zone 0 and 1, past slow start. */
  Host addEndpoints(int count) {
    for (int i = 0; i < count; i++) {
      updateEndpoint(String.valueOf((char) ('a' + i)), i % 2, EndpointState.READY, 0);
    }
    return this;
  }

  /** Reports a changed list entry; its zone has the number of its cell. */
  void updateEndpoint(String id, int cell, EndpointState state, long startedAtNanos) {
    policy.endpointsUpdated(
        nowNanos,
        EndpointListKind.DELTA,
        List.of(new Endpoint(id, 1, cell, cell, 0, state, startedAtNanos)));
  }

  /** Reports a request of customer 1 with a deadline of 3 s, and returns its id. */
  String request(int requestClass, double units) {
    return request(requestClass, 0, 1, units, nowNanos + 3000 * MS);
  }

  /** Reports a request and returns its id. */
  String request(int requestClass, int plan, long customer, double units, long deadlineNanos) {
    String id = "r" + requestCount++;
    policy.requestReceived(
        nowNanos,
        new Request(id, requestClass, plan, customer, deadlineNanos, units, nodeCount, 0, false));
    return id;
  }

  /** Ends the last attempt of a request; the request is complete if the outcome is OK. */
  void endAttempt(String requestId, Outcome outcome) {
    endAttempt(requestId, outcome, outcome == Outcome.OK);
  }

  /** Ends the last attempt of a request. */
  void endAttempt(String requestId, Outcome outcome, boolean requestComplete) {
    Attempt last = attemptsOf(requestId).get(attemptsOf(requestId).size() - 1);
    policy.attemptEnded(
        nowNanos,
        new AttemptResult(
            requestId,
            outcome,
            20 * MS,
            last.endpointId(),
            requestComplete,
            attemptsOf(requestId).size() - 1,
            0,
            List.of()));
  }

  /** The attempts of a request, in the order in which they were sent. */
  List<Attempt> attemptsOf(String requestId) {
    return attempts.stream().filter(attempt -> attempt.requestId().equals(requestId)).toList();
  }

  /** Advances the clock, and fires the timer every 10 ms and at the end. */
  void advance(long durationNanos) {
    for (long endNanos = nowNanos + durationNanos; nowNanos < endNanos; ) {
      nowNanos += Math.min(10 * MS, endNanos - nowNanos);
      policy.timerFired(nowNanos, 0);
    }
  }

  @Override
  public void sendAttempt(String requestId, String endpointId, long timeoutNanos) {
    attempts.add(new Attempt(requestId, endpointId, timeoutNanos));
  }

  @Override
  public void reject(String requestId, long retryAfterNanos) {
    rejected.add(requestId);
    this.retryAfterNanos.add(retryAfterNanos);
  }

  @Override
  public void fail(String requestId) {
    failed.add(requestId);
  }

  @Override
  public void healthCheck(String endpointId) {
    assertTrue(healthChecksAllowed, "health checks are not allowed in this test");
    healthChecks.add(endpointId);
  }

  @Override
  public void addToCounter(long key, double amount, long lifetimeNanos) {
    counterCalls.add(new CounterCall(key, amount));
  }

  @Override
  public void scheduleTimer(long token, long delayNanos) {}

  @Override
  public void subscribeToEndpoints() {}

  @Override
  public void log(String message) {
    logs.add(message);
  }
}

package edgegateway.testbed.simulation;

import edgegateway.node.zones.ZoneEjectionController;
import edgegateway.node.zones.ZoneEjectionSettings;
import edgegateway.policy.GatewayPolicy;
import edgegateway.policy.api.AttemptResult;
import edgegateway.policy.api.Endpoint;
import edgegateway.policy.api.EndpointListKind;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.PolicyActions;
import edgegateway.policy.api.PolicySettings;
import edgegateway.policy.api.Request;
import edgegateway.testbed.fakes.FakeArchiveServer.Completion;
import edgegateway.testbed.network.NetworkPeer;
import edgegateway.testbed.simulation.SimulationMeter.Activity;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;

/**
 * An edge node's machine: the program's module, and around it what the real node does on sockets,
 * without them.
 */
final class SimulatedNode implements PolicyActions, SimulatedPeer {
  /** Whoever waits for an answer. */
  interface Client {
    /**
     * The final answer, an HTTP status and the advice on when to come again, 0 for none; called
     * when it is written, at the node.
     */
    void respond(int status, long advice);

    /** The process died first. */
    void processDied();
  }

  /**
   * What a node is told at each of its starts, and where it reaches whom; it keeps idle connections
   * for {@code keep} nanoseconds.
   */
  record Environment(
      VirtualClock clock,
      SimulatedNetwork network,
      PolicySettings settings,
      ZoneEjectionSettings zones,
      List<String> zoneNames,
      Supplier<List<Endpoint>> endpointList,
      Map<String, SimulatedArchiveServer> servers,
      SimulatedCounter counter,
      long idleTimeoutNanos,
      SimulationMeter meter,
      ToLongFunction<String> workNanosOf,
      BiConsumer<NetworkPeer, Endpoint> onNotified,
      BiConsumer<NetworkPeer, String> onLogLine) {}

  /** As the real node: the module sees deadlines early, and what it leaves unanswered is failed. */
  private static final long RESPONSE_MARGIN_NANOS = 12_000_000L;

  private static final long FORCED_FAILURE_MARGIN_NANOS = 6_000_000L;

  /**
   * From a start on this machine until it listens, has heard discovery, and says yes to the front.
   */
  private static final long LISTENING_AFTER_NANOS = 700_000_000L;

  private static final long DISCOVERY_HEARD_AFTER_NANOS = 800_000_000L;
  private static final long READY_AFTER_NANOS = 1_700_000_000L;

  /** How often it is looked whether the process before has ended. */
  private static final long TERMINATION_POLL_NANOS = 20_000_000L;

  /** The settings' connect time-out. */
  private static final long CONNECT_TIMEOUT_NANOS = 250_000_000L;

  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_GATEWAY = 502;
  private static final int STATUS_UNAVAILABLE = 503;

  private final class InFlightRequest {
    final Request request;
    final Client client;
    final boolean hasIdempotencyKey;
    final long receivedAtNanos = clock.now();
    Attempt attempt;
    int attempts;
    boolean answered;

    InFlightRequest(Request request, boolean keyed, Client client) {
      this.request = request;
      this.hasIdempotencyKey = keyed;
      this.client = client;
    }
  }

  private final class Attempt {
    final InFlightRequest request;
    final SimulatedArchiveServer server;
    final long sentAtNanos = clock.now();

    /** How long its server had it. */
    long serverDurationNanos;

    boolean written;
    boolean ended;

    Attempt(InFlightRequest of, SimulatedArchiveServer server) {
      this.request = of;
      this.server = server;
    }
  }

  private final NetworkPeer peer;
  private final Environment environment;
  private final VirtualClock clock;
  private final SimulationMeter meter;
  private final SplittableRandom random;
  private final Map<String, InFlightRequest> requestsById = new LinkedHashMap<>();
  private final Map<SimulatedArchiveServer, SimulatedConnectionPool> pools = new LinkedHashMap<>();
  private GatewayPolicy policy;
  private ZoneEjectionController zoneEjection;
  private int incarnation;
  private boolean ready;
  private boolean terminating;
  private boolean paused;
  private boolean discoverySilenced;

  /** What happened while the process stood still, and what discovery has not said. */
  private final List<Runnable> backlog = new ArrayList<>();

  private final Map<String, Endpoint> undelivered = new LinkedHashMap<>();

  SimulatedNode(NetworkPeer party, Environment around, SplittableRandom chance) {
    this.peer = party;
    this.environment = around;
    this.random = chance;
    clock = around.clock;
    meter = around.meter;
  }

  @Override
  public NetworkPeer peer() {
    return peer;
  }

  @Override
  public boolean isListening() {
    return policy != null && !terminating;
  }

  @Override
  public int incarnation() {
    return incarnation;
  }

  /** What its health says. */
  boolean ready() {
    return ready && !paused && !terminating;
  }

  /** Begins its process, after the end of the one before; it listens a while later. */
  void start() {
    if (terminating) {
      clock.runAfter(TERMINATION_POLL_NANOS, this::start);
      return;
    }
    List<Endpoint> endpoints = environment.endpointList.get();
    endpoints.forEach(endpoint -> environment.onNotified.accept(peer, endpoint));
    schedule(
        LISTENING_AFTER_NANOS,
        () -> {
          policy = new GatewayPolicy(environment.settings, random.nextLong(), clock.now(), this);
          meter.time(
              Activity.FIRST_LIST,
              () -> policy.endpointsUpdated(clock.now(), EndpointListKind.CACHED, endpoints));
          if (environment.zones != null) {
            zoneEjection =
                new ZoneEjectionController(
                    environment.zones,
                    environment.settings,
                    environment.zoneNames,
                    random.nextLong(),
                    clock.now(),
                    policy,
                    this);
            tickZoneEjection();
          }
        });
    schedule(
        DISCOVERY_HEARD_AFTER_NANOS,
        () -> {
          if (!discoverySilenced) {
            List<Endpoint> fullList = environment.endpointList.get();
            meter.time(
                Activity.WHOLE_LIST,
                () -> policy.endpointsUpdated(clock.now(), EndpointListKind.FULL, fullList));
          }
        });
    schedule(READY_AFTER_NANOS, () -> ready = true);
  }

  private void tickZoneEjection() {
    zoneEjection.tick(clock.now(), !discoverySilenced);
    schedule(ZoneEjectionController.TICK_INTERVAL_NANOS, this::tickZoneEjection);
  }

  /** Happens unless this life has ended by then. */
  private void schedule(long delayNanos, Runnable task) {
    int scheduledIn = incarnation;
    clock.runAfter(
        delayNanos,
        () -> {
          if (scheduledIn == incarnation) {
            deliver(task);
          }
        });
  }

  /** All that reaches the process, which may stand still. */
  private void deliver(Runnable task) {
    if (paused) {
      backlog.add(task);
    } else {
      task.run();
    }
  }

  /** Stands still until {@link #resume}. */
  void pause() {
    paused = true;
  }

  void resume() {
    paused = false;
    List<Runnable> missed = List.copyOf(backlog);
    backlog.clear();
    missed.forEach(Runnable::run);
  }

  /** Takes no new connections, answers what it has and ends. */
  void term() {
    terminating = true;
    if (zoneEjection != null) {
      zoneEjection.consensus().stopVoting();
    }
    endIfDone();
  }

  private void endIfDone() {
    if (terminating && requestsById.isEmpty()) {
      kill();
    }
  }

  /** Whether discovery says nothing here; what it has not said it says at the end of that. */
  void setDiscoverySilenced(boolean silenced) {
    discoverySilenced = silenced;
    if (!silenced) {
      List<Endpoint> missed = List.copyOf(undelivered.values());
      undelivered.clear();
      missed.forEach(this::notifyEndpoint);
    }
  }

  void kill() {
    incarnation++;
    policy = null;
    zoneEjection = null;
    ready = terminating = paused = false;
    backlog.clear();
    pools.clear();
    List<InFlightRequest> abandoned = new ArrayList<>(requestsById.values());
    requestsById.clear();
    abandoned.forEach(
        request -> {
          if (!request.answered) {
            request.client.processDied();
          }
        });
  }

  /** Discovery tells of a server. */
  void notifyEndpoint(Endpoint endpoint) {
    if (discoverySilenced) {
      undelivered.put(endpoint.id(), endpoint);
    } else {
      deliver(() -> endpointNotified(endpoint));
    }
  }

  /** An operator leaves a zone out here, or has it back as fast as cold servers warm. */
  void setZoneEjected(int zone, boolean ejected) {
    deliver(
        () -> {
          if (policy != null) {
            policy.setZoneEjected(
                clock.now(), zone, ejected, environment.settings.rules().slowStartNanos());
          }
        });
  }

  private void endpointNotified(Endpoint endpoint) {
    if (policy != null) {
      environment.onNotified.accept(peer, endpoint);
      meter.time(
          Activity.CHANGE,
          () -> policy.endpointsUpdated(clock.now(), EndpointListKind.DELTA, List.of(endpoint)));
    }
  }

  /** A request has come whole; its client waits for {@code span} more. */
  void receive(Request received, long delayNanos, boolean keyed, Client client) {
    deliver(() -> accept(received, delayNanos, keyed, client));
  }

  private void accept(Request received, long delayNanos, boolean keyed, Client client) {
    long deadline = clock.now() + Math.max(1, delayNanos - RESPONSE_MARGIN_NANOS);
    Request request =
        new Request(
            received.id(),
            received.requestClass(),
            received.plan(),
            received.customer(),
            deadline,
            received.units(),
            received.customerNodeCount(),
            received.firstCustomerNode(),
            received.clientRetry());
    InFlightRequest inFlight = new InFlightRequest(request, keyed, client);
    requestsById.put(request.id(), inFlight);
    schedule(
        Math.max(0, delayNanos - FORCED_FAILURE_MARGIN_NANOS),
        () -> {
          if (!inFlight.answered) {
            respond(inFlight, STATUS_BAD_GATEWAY, 0);
            clientDisconnected(request.id());
          }
        });
    meter.time(Activity.REQUEST, () -> policy.requestReceived(clock.now(), request));
  }

  /** Whether no request is open here. */
  boolean idle() {
    return requestsById.isEmpty();
  }

  /** Connections to archive servers now, in use and idle, added up by server. */
  int connections(Map<SimulatedArchiveServer, Integer> byServer) {
    int[] all = new int[1];
    pools.forEach(
        (server, pool) -> {
          all[0] += pool.idle();
          byServer.merge(server, pool.idle(), Integer::sum);
        });
    for (InFlightRequest request : requestsById.values()) {
      if (request.attempt != null && request.attempt.written) {
        all[0]++;
        byServer.merge(request.attempt.server, 1, Integer::sum);
      }
    }
    return all[0];
  }

  /** The client has left. */
  void clientLeft(String id) {
    deliver(() -> clientDisconnected(id, requestsById.get(id)));
  }

  private void clientDisconnected(String id, InFlightRequest inFlight) {
    if (inFlight != null && !inFlight.answered) {
      inFlight.answered = true;
      clientDisconnected(id);
    }
  }

  private void clientDisconnected(String id) {
    policy.clientDisconnected(clock.now(), id);
    removeIfFinished(requestsById.get(id));
  }

  private void respond(InFlightRequest inFlight, int status, long retryAfterNanos) {
    inFlight.answered = true;
    inFlight.client.respond(status, retryAfterNanos);
  }

  private void removeIfFinished(InFlightRequest inFlight) {
    if (inFlight != null && inFlight.answered && inFlight.attempt == null) {
      requestsById.remove(inFlight.request.id());
      endIfDone();
    }
  }

  @Override
  public void sendAttempt(String id, String server, long timeoutNanos) {
    meter.outside(() -> startAttempt(id, server, timeoutNanos));
  }

  private void startAttempt(String id, String server, long timeoutNanos) {
    InFlightRequest inFlight = requestsById.get(id);
    SimulatedArchiveServer target = environment.servers.get(server);
    Attempt attempt = new Attempt(inFlight, target);
    inFlight.attempt = attempt;
    inFlight.attempts++;
    schedule(
        timeoutNanos,
        () -> endAttempt(attempt, attempt.written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED));
    SimulatedConnectionPool pool =
        pools.computeIfAbsent(
            target,
            any ->
                new SimulatedConnectionPool(
                    clock,
                    environment.network,
                    peer,
                    target,
                    CONNECT_TIMEOUT_NANOS,
                    environment.idleTimeoutNanos,
                    meter));
    int startedIn = incarnation;
    pool.acquire(
        new SimulatedConnectionPool.ConnectionUser() {
          @Override
          public void connected(int serverLife, boolean reused) {
            deliver(
                () -> {
                  if (startedIn == incarnation && !attempt.ended) {
                    attempt.written = true;
                    write(attempt, pool, serverLife);
                  } else {
                    pool.release(serverLife);
                  }
                });
          }

          @Override
          public void connectFailed() {
            deliver(() -> endAttempt(attempt, Outcome.CONNECT_FAILED));
          }
        });
  }

  private void write(Attempt attempt, SimulatedConnectionPool pool, int serverLife) {
    SimulatedArchiveServer target = attempt.server;
    String id = attempt.request.request.id();
    environment.network.send(
        peer,
        target.peer(),
        () -> {
          if (target.incarnation() != serverLife) {
            returnToNode(attempt, () -> endAttempt(attempt, Outcome.RESET));
            return;
          }
          long arrived = clock.now();
          target.receive(
              id,
              attempt.request.hasIdempotencyKey ? id : null,
              environment.workNanosOf.applyAsLong(id),
              new SimulatedArchiveServer.Caller() {
                @Override
                public void ended(Completion how) {
                  attempt.serverDurationNanos = clock.now() - arrived;
                  returnToNode(
                      attempt,
                      () -> {
                        if (!attempt.ended) {
                          pool.release(serverLife);
                        }
                        endAttempt(
                            attempt,
                            switch (how) {
                              case SERVED, DEDUPLICATED -> Outcome.OK;
                              case FAILED -> Outcome.ERROR;
                              case REJECTED -> Outcome.REJECTED;
                            });
                      });
                }

                @Override
                public void processDied() {
                  returnToNode(attempt, () -> endAttempt(attempt, Outcome.RESET));
                }
              });
        });
  }

  private void returnToNode(Attempt attempt, Runnable task) {
    environment.network.send(attempt.server.peer(), peer, () -> deliver(task));
  }

  private void endAttempt(Attempt attempt, Outcome outcome) {
    InFlightRequest inFlight = attempt.request;
    if (attempt.ended || requestsById.get(inFlight.request.id()) != inFlight) {
      return;
    }
    attempt.ended = true;
    inFlight.attempt = null;
    if (outcome == Outcome.OK && !inFlight.answered) {
      meter.added(
          clock.now()
              - inFlight.receivedAtNanos
              - attempt.serverDurationNanos
              - 2 * SimulatedNetwork.oneWayNanos());
      respond(inFlight, STATUS_OK, 0);
    }
    meter.time(
        Activity.ANSWER,
        () ->
            policy.attemptEnded(
                clock.now(),
                new AttemptResult(
                    inFlight.request.id(),
                    outcome,
                    clock.now() - attempt.sentAtNanos,
                    attempt.server.peer().name(),
                    inFlight.answered,
                    inFlight.attempts - 1,
                    0,
                    List.of())));
    removeIfFinished(inFlight);
  }

  @Override
  public void reject(String id, long retryAfter) {
    respondWithoutAttempt(id, STATUS_UNAVAILABLE, retryAfter);
  }

  @Override
  public void fail(String id) {
    respondWithoutAttempt(id, STATUS_BAD_GATEWAY, 0);
  }

  private void respondWithoutAttempt(String id, int status, long retryAfterNanos) {
    meter.outside(
        () -> {
          InFlightRequest inFlight = requestsById.get(id);
          respond(inFlight, status, retryAfterNanos);
          removeIfFinished(inFlight);
        });
  }

  @Override
  public void addToCounter(long name, double amount, long lifetime) {
    meter.outside(() -> callCounter(name, amount, lifetime));
  }

  private void callCounter(long name, double amount, long lifetime) {
    boolean[] ended = new boolean[1];
    int calledIn = incarnation;
    SimulatedCounter counter = environment.counter;
    schedule(
        environment.settings.counter().timeoutNanos(),
        () -> counterCallEnded(ended, calledIn, name, Outcome.TIMEOUT, 0));
    environment.network.send(
        peer,
        counter.peer(),
        () ->
            counter.call(
                Long.toString(name),
                amount,
                lifetime,
                total ->
                    environment.network.send(
                        counter.peer(),
                        peer,
                        () ->
                            deliver(
                                () ->
                                    counterCallEnded(
                                        ended,
                                        calledIn,
                                        name,
                                        total == null ? Outcome.REJECTED : Outcome.OK,
                                        total == null ? 0 : total)))));
  }

  private void counterCallEnded(
      boolean[] ended, int calledIn, long name, Outcome outcome, double total) {
    if (ended[0] || calledIn != incarnation) {
      return;
    }
    ended[0] = true;
    meter.counterCallEnded(outcome);
    if (zoneEjection != null && ZoneEjectionController.ownsCounterKey(name)) {
      zoneEjection.counterReplied(clock.now(), name, outcome, total);
    } else {
      meter.time(Activity.COUNTED, () -> policy.counterReplied(clock.now(), name, outcome, total));
    }
  }

  @Override
  public void scheduleTimer(long token, long delayNanos) {
    schedule(
        delayNanos, () -> meter.time(Activity.TIMER, () -> policy.timerFired(clock.now(), token)));
  }

  @Override
  public void healthCheck(String server) {
    throw new IllegalStateException("the settings allow no probes");
  }

  @Override
  public void subscribeToEndpoints() {
    throw new IllegalStateException("the settings tell changes of the list unasked");
  }

  @Override
  public void log(String text) {
    environment.onLogLine.accept(peer, text);
  }
}

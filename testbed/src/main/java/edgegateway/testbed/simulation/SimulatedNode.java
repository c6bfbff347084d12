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
import edgegateway.testbed.fakes.FakeArchiveServer.Ending;
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
    void answer(int status, long advice);

    /** The process died first. */
    void died();
  }

  /**
   * What a node is told at each of its starts, and where it reaches whom; it keeps idle connections
   * for {@code keep} nanoseconds.
   */
  record Environment(
      VirtualClock timeline,
      SimulatedNetwork network,
      PolicySettings settings,
      ZoneEjectionSettings zones,
      List<String> zoneNames,
      Supplier<List<Endpoint>> list,
      Map<String, SimulatedArchiveServer> servers,
      SimulatedCounter counter,
      long keep,
      SimulationMeter meter,
      ToLongFunction<String> work,
      BiConsumer<NetworkPeer, Endpoint> told,
      BiConsumer<NetworkPeer, String> log) {}

  /** As the real node: the module sees deadlines early, and what it leaves unanswered is failed. */
  private static final long ANSWER_MARGIN = 12_000_000L;

  private static final long LAST_MOMENT = 6_000_000L;

  /**
   * From a start on this machine until it listens, has heard discovery, and says yes to the front.
   */
  private static final long LISTENS = 700_000_000L;

  private static final long HEARD = 800_000_000L;
  private static final long READY = 1_700_000_000L;

  /** How often it is looked whether the process before has ended. */
  private static final long LOOK = 20_000_000L;

  /** The settings' connect time-out. */
  private static final long CONNECT = 250_000_000L;

  private static final int OK = 200;
  private static final int FAILED = 502;
  private static final int REFUSED = 503;

  private final class InFlightRequest {
    final Request request;
    final Client client;
    final boolean keyed;
    final long takenAt = timeline.now();
    Attempt attempt;
    int attempts;
    boolean answered;

    InFlightRequest(Request request, boolean keyed, Client client) {
      this.request = request;
      this.keyed = keyed;
      this.client = client;
    }
  }

  private final class Attempt {
    final InFlightRequest of;
    final SimulatedArchiveServer server;
    final long sentAt = timeline.now();

    /** How long its server had it. */
    long served;

    boolean written;
    boolean over;

    Attempt(InFlightRequest of, SimulatedArchiveServer server) {
      this.of = of;
      this.server = server;
    }
  }

  private final NetworkPeer party;
  private final Environment around;
  private final VirtualClock timeline;
  private final SimulationMeter meter;
  private final SplittableRandom chance;
  private final Map<String, InFlightRequest> open = new LinkedHashMap<>();
  private final Map<SimulatedArchiveServer, SimulatedConnectionPool> pools = new LinkedHashMap<>();
  private GatewayPolicy gateway;
  private ZoneEjectionController verdicts;
  private int life;
  private boolean ready;
  private boolean ending;
  private boolean paused;
  private boolean deaf;

  /** What happened while the process stood still, and what discovery has not said. */
  private final List<Runnable> backlog = new ArrayList<>();

  private final Map<String, Endpoint> unsaid = new LinkedHashMap<>();

  SimulatedNode(NetworkPeer party, Environment around, SplittableRandom chance) {
    this.party = party;
    this.around = around;
    this.chance = chance;
    timeline = around.timeline;
    meter = around.meter;
  }

  @Override
  public NetworkPeer party() {
    return party;
  }

  @Override
  public boolean listens() {
    return gateway != null && !ending;
  }

  @Override
  public int life() {
    return life;
  }

  /** What its health says. */
  boolean ready() {
    return ready && !paused && !ending;
  }

  /** Begins its process, after the end of the one before; it listens a while later. */
  void start() {
    if (ending) {
      timeline.after(LOOK, this::start);
      return;
    }
    List<Endpoint> known = around.list.get();
    known.forEach(entry -> around.told.accept(party, entry));
    soon(
        LISTENS,
        () -> {
          gateway = new GatewayPolicy(around.settings, chance.nextLong(), timeline.now(), this);
          meter.time(
              Activity.FIRST_LIST,
              () -> gateway.endpointsUpdated(timeline.now(), EndpointListKind.CACHED, known));
          if (around.zones != null) {
            verdicts =
                new ZoneEjectionController(
                    around.zones,
                    around.settings,
                    around.zoneNames,
                    chance.nextLong(),
                    timeline.now(),
                    gateway,
                    this);
            judge();
          }
        });
    soon(
        HEARD,
        () -> {
          if (!deaf) {
            List<Endpoint> whole = around.list.get();
            meter.time(
                Activity.WHOLE_LIST,
                () -> gateway.endpointsUpdated(timeline.now(), EndpointListKind.FULL, whole));
          }
        });
    soon(READY, () -> ready = true);
  }

  private void judge() {
    verdicts.tick(timeline.now(), !deaf);
    soon(ZoneEjectionController.TICK, this::judge);
  }

  /** Happens unless this life has ended by then. */
  private void soon(long span, Runnable what) {
    int of = life;
    timeline.after(
        span,
        () -> {
          if (of == life) {
            enter(what);
          }
        });
  }

  /** All that reaches the process, which may stand still. */
  private void enter(Runnable what) {
    if (paused) {
      backlog.add(what);
    } else {
      what.run();
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
    ending = true;
    if (verdicts != null) {
      verdicts.agreement().abstain();
    }
    endIfDone();
  }

  private void endIfDone() {
    if (ending && open.isEmpty()) {
      kill();
    }
  }

  /** Whether discovery says nothing here; what it has not said it says at the end of that. */
  void silence(boolean begins) {
    deaf = begins;
    if (!begins) {
      List<Endpoint> late = List.copyOf(unsaid.values());
      unsaid.clear();
      late.forEach(this::told);
    }
  }

  void kill() {
    life++;
    gateway = null;
    verdicts = null;
    ready = ending = paused = false;
    backlog.clear();
    pools.clear();
    List<InFlightRequest> lost = new ArrayList<>(open.values());
    open.clear();
    lost.forEach(
        one -> {
          if (!one.answered) {
            one.client.died();
          }
        });
  }

  /** Discovery tells of a server. */
  void told(Endpoint entry) {
    if (deaf) {
      unsaid.put(entry.id(), entry);
    } else {
      enter(() -> hear(entry));
    }
  }

  /** An operator leaves a zone out here, or has it back as fast as cold servers warm. */
  void leaveZone(int zone, boolean out) {
    enter(
        () -> {
          if (gateway != null) {
            gateway.setZoneEjected(
                timeline.now(), zone, out, around.settings.rules().slowStartNanos());
          }
        });
  }

  private void hear(Endpoint entry) {
    if (gateway != null) {
      around.told.accept(party, entry);
      meter.time(
          Activity.CHANGE,
          () -> gateway.endpointsUpdated(timeline.now(), EndpointListKind.DELTA, List.of(entry)));
    }
  }

  /** A request has come whole; its client waits for {@code span} more. */
  void take(Request asked, long span, boolean keyed, Client client) {
    enter(() -> request(asked, span, keyed, client));
  }

  private void request(Request asked, long span, boolean keyed, Client client) {
    long deadline = timeline.now() + Math.max(1, span - ANSWER_MARGIN);
    Request request =
        new Request(
            asked.id(),
            asked.requestClass(),
            asked.plan(),
            asked.customer(),
            deadline,
            asked.units(),
            asked.gatewayCount(),
            asked.firstGateway(),
            asked.clientRetry());
    InFlightRequest of = new InFlightRequest(request, keyed, client);
    open.put(request.id(), of);
    soon(
        Math.max(0, span - LAST_MOMENT),
        () -> {
          if (!of.answered) {
            answer(of, FAILED, 0);
            gone(request.id());
          }
        });
    meter.time(Activity.REQUEST, () -> gateway.requestReceived(timeline.now(), request));
  }

  /** Whether no request is open here. */
  boolean idle() {
    return open.isEmpty();
  }

  /** Connections to archive servers now, in use and idle, added up by server. */
  int connections(Map<SimulatedArchiveServer, Integer> byServer) {
    int[] all = new int[1];
    pools.forEach(
        (server, pool) -> {
          all[0] += pool.idle();
          byServer.merge(server, pool.idle(), Integer::sum);
        });
    for (InFlightRequest one : open.values()) {
      if (one.attempt != null && one.attempt.written) {
        all[0]++;
        byServer.merge(one.attempt.server, 1, Integer::sum);
      }
    }
    return all[0];
  }

  /** The client has left. */
  void left(String id) {
    enter(() -> gone(id, open.get(id)));
  }

  private void gone(String id, InFlightRequest of) {
    if (of != null && !of.answered) {
      of.answered = true;
      gone(id);
    }
  }

  private void gone(String id) {
    gateway.clientDisconnected(timeline.now(), id);
    settle(open.get(id));
  }

  private void answer(InFlightRequest of, int status, long advice) {
    of.answered = true;
    of.client.answer(status, advice);
  }

  private void settle(InFlightRequest of) {
    if (of != null && of.answered && of.attempt == null) {
      open.remove(of.request.id());
      endIfDone();
    }
  }

  @Override
  public void sendAttempt(String id, String server, long patience) {
    meter.outside(() -> begin(id, server, patience));
  }

  private void begin(String id, String server, long patience) {
    InFlightRequest of = open.get(id);
    SimulatedArchiveServer to = around.servers.get(server);
    Attempt attempt = new Attempt(of, to);
    of.attempt = attempt;
    of.attempts++;
    soon(patience, () -> end(attempt, attempt.written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED));
    SimulatedConnectionPool pool =
        pools.computeIfAbsent(
            to,
            any ->
                new SimulatedConnectionPool(
                    timeline, around.network, party, to, CONNECT, around.keep, meter));
    int born = life;
    pool.take(
        new SimulatedConnectionPool.ConnectionUser() {
          @Override
          public void connected(int serverLife, boolean reused) {
            enter(
                () -> {
                  if (born == life && !attempt.over) {
                    attempt.written = true;
                    write(attempt, pool, serverLife);
                  } else {
                    pool.release(serverLife);
                  }
                });
          }

          @Override
          public void refused() {
            enter(() -> end(attempt, Outcome.CONNECT_FAILED));
          }
        });
  }

  private void write(Attempt attempt, SimulatedConnectionPool pool, int serverLife) {
    SimulatedArchiveServer to = attempt.server;
    String id = attempt.of.request.id();
    around.network.pass(
        party,
        to.party(),
        () -> {
          if (to.life() != serverLife) {
            back(attempt, () -> end(attempt, Outcome.RESET));
            return;
          }
          long arrived = timeline.now();
          to.arrive(
              id,
              attempt.of.keyed ? id : null,
              around.work.applyAsLong(id),
              new SimulatedArchiveServer.Caller() {
                @Override
                public void ended(Ending how) {
                  attempt.served = timeline.now() - arrived;
                  back(
                      attempt,
                      () -> {
                        if (!attempt.over) {
                          pool.release(serverLife);
                        }
                        end(
                            attempt,
                            switch (how) {
                              case SERVED, REPEATED -> Outcome.OK;
                              case FAILED -> Outcome.ERROR;
                              case TURNED_AWAY -> Outcome.REJECTED;
                            });
                      });
                }

                @Override
                public void died() {
                  back(attempt, () -> end(attempt, Outcome.RESET));
                }
              });
        });
  }

  private void back(Attempt attempt, Runnable what) {
    around.network.pass(attempt.server.party(), party, () -> enter(what));
  }

  private void end(Attempt attempt, Outcome outcome) {
    InFlightRequest of = attempt.of;
    if (attempt.over || open.get(of.request.id()) != of) {
      return;
    }
    attempt.over = true;
    of.attempt = null;
    if (outcome == Outcome.OK && !of.answered) {
      meter.added(timeline.now() - of.takenAt - attempt.served - 2 * SimulatedNetwork.hop());
      answer(of, OK, 0);
    }
    meter.time(
        Activity.ANSWER,
        () ->
            gateway.attemptEnded(
                timeline.now(),
                new AttemptResult(
                    of.request.id(),
                    outcome,
                    timeline.now() - attempt.sentAt,
                    attempt.server.party().name(),
                    of.answered,
                    of.attempts - 1,
                    0,
                    List.of())));
    settle(of);
  }

  @Override
  public void reject(String id, long retryAfter) {
    decline(id, REFUSED, retryAfter);
  }

  @Override
  public void fail(String id) {
    decline(id, FAILED, 0);
  }

  private void decline(String id, int status, long advice) {
    meter.outside(
        () -> {
          InFlightRequest of = open.get(id);
          answer(of, status, advice);
          settle(of);
        });
  }

  @Override
  public void addToCounter(long name, double amount, long lifetime) {
    meter.outside(() -> call(name, amount, lifetime));
  }

  private void call(long name, double amount, long lifetime) {
    boolean[] over = new boolean[1];
    int of = life;
    SimulatedCounter counter = around.counter;
    soon(
        around.settings.counter().timeoutNanos(),
        () -> counted(over, of, name, Outcome.TIMEOUT, 0));
    around.network.pass(
        party,
        counter.party(),
        () ->
            counter.call(
                Long.toString(name),
                amount,
                lifetime,
                total ->
                    around.network.pass(
                        counter.party(),
                        party,
                        () ->
                            enter(
                                () ->
                                    counted(
                                        over,
                                        of,
                                        name,
                                        total == null ? Outcome.REJECTED : Outcome.OK,
                                        total == null ? 0 : total)))));
  }

  private void counted(boolean[] over, int of, long name, Outcome outcome, double total) {
    if (over[0] || of != life) {
      return;
    }
    over[0] = true;
    meter.counted(outcome);
    if (verdicts != null && ZoneEjectionController.owns(name)) {
      verdicts.counted(timeline.now(), name, outcome, total);
    } else {
      meter.time(
          Activity.COUNTED, () -> gateway.counterReplied(timeline.now(), name, outcome, total));
    }
  }

  @Override
  public void scheduleTimer(long token, long span) {
    soon(span, () -> meter.time(Activity.TIMER, () -> gateway.timerFired(timeline.now(), token)));
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
    around.log.accept(party, text);
  }
}

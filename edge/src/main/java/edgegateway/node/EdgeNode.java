package edgegateway.node;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.clients.ClientHttpServer;
import edgegateway.node.config.NodeConfig;
import edgegateway.node.connections.BufferedBodies;
import edgegateway.node.connections.ConnectionMetrics;
import edgegateway.node.connections.DescriptorBudget;
import edgegateway.node.counter.CounterClient;
import edgegateway.node.discovery.DiscoveryClient;
import edgegateway.node.discovery.EndpointListListener;
import edgegateway.node.lifecycle.EventLoopStallDetector;
import edgegateway.node.logging.EventLog;
import edgegateway.node.metrics.NodeMetrics;
import edgegateway.node.metrics.NodeMetrics.RequestEnd;
import edgegateway.node.operators.EjectionFile;
import edgegateway.node.operators.OperatorCommands;
import edgegateway.node.requests.AttemptListener;
import edgegateway.node.requests.BodyRelay;
import edgegateway.node.requests.ClientRequestHandler;
import edgegateway.node.requests.InFlightRequest;
import edgegateway.node.upgrade.HandoverFile;
import edgegateway.node.upgrade.ProcessSlots;
import edgegateway.node.upstream.UpstreamPool;
import edgegateway.node.zones.ZoneEjectionController;
import edgegateway.node.zones.ZoneEjectionState;
import edgegateway.policy.GatewayPolicy;
import edgegateway.policy.api.AttemptResult;
import edgegateway.policy.api.EndpointListKind;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.PolicyActions;
import edgegateway.policy.api.StateTransfer;
import edgegateway.policy.api.ZoneStatus;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.stream.Collectors;

/**
 * A real edge node: carries what happens on the sockets to the decision module and its actions
 * back. All of it runs on one event loop thread, so nothing here is locked and the module's
 * contract of one caller holds. A process has one with a loop of its own; many may share loops
 * where that is measured.
 */
public final class EdgeNode
    implements PolicyActions,
        ClientRequestHandler,
        AttemptListener,
        EndpointListListener,
        OperatorCommands,
        AutoCloseable {
  private static final EventLog LOG = EventLog.console();
  private static final long MS = 1_000_000L;

  /**
   * By so much the module sees each deadline early: its last answer is written before the client
   * leaves.
   */
  private static final long ANSWER_MARGIN = 12 * MS;

  /**
   * So long before the client's deadline a request that is left unanswered is failed, and a long
   * answer that is not out is cut.
   */
  private static final long LAST_MOMENT = 6 * MS;

  /** How often the servers' figures and what another process wrote are looked at. */
  private static final long LOOK = 200 * MS;

  private static final long POLL_MS = 5;

  /** Discovery says at least a line each 2 s. */
  private static final long HEARD_MS = 2_500;

  /** For how long a successor waits for what the other process knows. */
  private static final long HANDOVER_MS = 10_000;

  /** Null where the loop is another's. */
  private final EventLoopGroup group;

  public final EventLoop loop;

  /** The module's clock: the wall's time at the start, going on by the clock that never jumps. */
  private final long clockOffset = System.currentTimeMillis() * MS - System.nanoTime();

  private final Map<String, InFlightRequest> inFlight = new HashMap<>();
  private final CounterClient counter;
  private final DiscoveryClient discovery;
  public final ConnectionMetrics connectionMetrics = new ConnectionMetrics();
  public final BufferedBodies bufferedBodies = new BufferedBodies(connectionMetrics);
  public final NodeMetrics figures;
  public final UpstreamPool upstreamPool;
  public final ClientHttpServer clients;
  final ProcessSlots slots;
  public final BodyRelay.Group relays;
  public final EventLoopStallDetector stallDetector = new EventLoopStallDetector(System.nanoTime());
  private final EjectionFile endpointEjectionFile;
  private final EjectionFile zoneEjectionFile;
  private final HandoverFile handoverFile;
  private NodeConfig config;
  private volatile DescriptorBudget budget;
  private GatewayPolicy policy;

  /** Null where zones are left by hand alone. */
  private ZoneEjectionController zoneEjection;

  private volatile boolean admitted;
  private volatile boolean taking;
  private boolean inPolicyEvent;

  /** {@code folder} keeps what outlives the process; null if nothing does. */
  public EdgeNode(NodeConfig config, Path folder) throws IOException {
    this(config, folder, new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()), null);
  }

  /**
   * One of many on a loop that others share; nothing of it outlives the process. It ends with the
   * loop.
   *
   * @param configuration what the file that {@code GW_CONFIG} names would hold
   * @throws IllegalArgumentException with one line that names the key, if it can't be used
   */
  public static EdgeNode on(EventLoop loop, String configuration) throws IOException {
    try {
      return new EdgeNode(NodeConfig.parse(configuration), null, null, loop);
    } catch (NodeConfig.InvalidConfigException e) {
      throw new IllegalArgumentException(e.getMessage(), e);
    }
  }

  private EdgeNode(NodeConfig config, Path folder, EventLoopGroup own, EventLoop shared)
      throws IOException {
    group = own;
    loop = own == null ? shared : own.next();
    this.config = config;
    figures = new NodeMetrics(config.names().classes(), connectionMetrics);
    slots = new ProcessSlots(folder);
    endpointEjectionFile = new EjectionFile(folder, "left-out");
    zoneEjectionFile = new EjectionFile(folder, "zones-out");
    handoverFile = new HandoverFile(folder);
    relays = new BodyRelay.Group(loop);
    upstreamPool =
        new UpstreamPool(this, loop, config, connectionMetrics, figures, bufferedBodies, relays);
    counter = new CounterClient(this::counted, loop, config);
    discovery = new DiscoveryClient(this, figures, loop, config);
    clients =
        new ClientHttpServer(
            this, loop, config, connectionMetrics, bufferedBodies, relays, stallDetector);
    applyBudget(1).clamped().forEach(this::log);
  }

  /**
   * Begins to serve; returns when the listening socket is bound, or when the process ends before
   * that. What discovery's agent has counts as told from the first moment on, and the list as last
   * had may name servers that leave: nobody is listened to before the agent was heard, or has been
   * waited for.
   */
  public void start() throws Exception {
    startPolicy();
    loop.submit(() -> discovery.start(config.known().revision())).get();
    discovery.firstMessage().get();
    clients.bind().get();
  }

  /**
   * Begins to serve beside the other process of an upgrade: health says yes from the first
   * connection on, and the module is made only now, so that its quotas begin when its clients do.
   */
  void startAsSuccessor() throws Exception {
    handoverFile.discard();
    startPolicy();
    loop.submit(() -> discovery.start(config.known().revision())).get();
    discovery.firstMessage().get();
    admitted = true;
    clients.bind().get();
    admit();
  }

  /** Waits for what the other process knows of its customers; that comes when it is told to end. */
  void importPredecessorState() throws InterruptedException {
    for (long waited = 0; waited < HANDOVER_MS; waited += POLL_MS) {
      StateTransfer from = handoverFile.read();
      if (from != null) {
        loop.execute(() -> event(null, now -> policy.importState(now, from)));
        return;
      }
      Thread.sleep(POLL_MS);
    }
  }

  /** Makes the module, with the list as last had; nothing listens or connects by this alone. */
  public void startPolicy() throws Exception {
    loop.submit(
            () -> {
              policy = new GatewayPolicy(config.settings(), config.seed(), nowNanos(), this);
              endpointListReceived(config.known(), EndpointListKind.CACHED);
              refresh();
              loop.scheduleAtFixedRate(this::refresh, LOOK, LOOK, TimeUnit.NANOSECONDS);
              if (config.zones() != null) {
                zoneEjection =
                    new ZoneEjectionController(
                        config.zones(),
                        config.settings(),
                        config.names().zones(),
                        config.seed(),
                        nowNanos(),
                        policy,
                        this);
                loop.scheduleAtFixedRate(
                    () ->
                        event(
                            null,
                            now -> zoneEjection.tick(now, figures.discoverySilence() < HEARD_MS)),
                    ZoneEjectionController.TICK_NANOS,
                    ZoneEjectionController.TICK_NANOS,
                    TimeUnit.NANOSECONDS);
              }
            })
        .get();
  }

  /** Where clients connect. */
  public InetSocketAddress address() {
    return clients.address();
  }

  /**
   * Follows a new configuration's addresses of discovery and counter; all else stays as it was at
   * the start.
   */
  void applyConfiguration(NodeConfig next) {
    loop.execute(
        () -> {
          if (next.counter() != null && !next.counter().equals(config.counter())) {
            counter.changeAddress(next.counter());
          }
          if (!next.discovery().equals(config.discovery())) {
            discovery.changeAddress(next.discovery());
          }
          config = next;
        });
  }

  /** Answers all that was taken and completes when no client's connection is open any more. */
  CompletableFuture<Void> stop() throws Exception {
    CompletableFuture<Void> done = new CompletableFuture<>();
    StateTransfer told =
        loop.submit(
                () -> {
                  boolean succeeded = slots.otherTakes();
                  slots.take(false);
                  if (zoneEjection != null) {
                    zoneEjection.consensus().stopVoting();
                  }
                  clients.stop(done, succeeded);
                  return succeeded ? policy.exportState(nowNanos()) : null;
                })
            .get();
    // Not on the loop: it has clients to see to.
    if (told != null) {
      handoverFile.write(told);
    }
    return done;
  }

  /**
   * An operator drains this edge node, or has it take clients again; completes with null or with
   * why not.
   */
  @Override
  public CompletableFuture<String> drain(boolean on) {
    return command(() -> clients.drain(on) ? null : "this process ends");
  }

  /**
   * An operator leaves a server out or lets it serve again; completes with null or with why not.
   */
  @Override
  public CompletableFuture<String> setEndpointEjected(String server, boolean out) {
    return command(
        () -> {
          boolean[] listed = new boolean[1];
          if (policy != null) {
            // As an event: it may let requests go, and the sockets must not enter the module again
            // meanwhile.
            event(null, now -> listed[0] = policy.setEndpointEjected(now, server, out));
          }
          if (!listed[0]) {
            return "never listed";
          }
          if (out) {
            upstreamPool.endpointEjected(server);
          }
          endpointEjectionFile.write(policy.operatorEjectedEndpoints());
          updateMetrics();
          return null;
        });
  }

  /**
   * An operator leaves a zone out, or has it back over so many seconds, 0 for as long as a cold
   * server needs; completes with null or with why not.
   */
  @Override
  public CompletableFuture<String> setZoneEjected(String name, boolean out, long seconds) {
    int zone = config.names().zones().indexOf(name);
    return command(
        () -> {
          if (zone < 0) {
            return "no such zone";
          }
          boolean[] left = new boolean[1];
          long ramp =
              seconds > 0
                  ? TimeUnit.SECONDS.toNanos(seconds)
                  : config.settings().rules().slowStartNanos();
          event(
              null, now -> left[0] = policy != null && policy.setZoneEjected(now, zone, out, ramp));
          if (!left[0]) {
            return "no server of another zone could be sent to";
          }
          zoneEjectionFile.write(
              policy.ejectedZones().stream()
                  .map(config.names().zones()::get)
                  .collect(Collectors.toSet()));
          log(
              "zone "
                  + name
                  + (out
                      ? " out by hand"
                      : " back by hand over " + TimeUnit.NANOSECONDS.toSeconds(ramp) + " s"));
          updateMetrics();
          return null;
        });
  }

  /** How each zone stands, a line each. */
  @Override
  public CompletableFuture<String> zoneReport() {
    return command(
        () -> {
          StringBuilder text = new StringBuilder();
          long now = nowNanos();
          for (int i = 0; i < config.names().zones().size() && policy != null; i++) {
            ZoneStatus zone = policy.zoneStatus(i);
            ZoneEjectionState verdict =
                zoneEjection == null || zone.byOperator()
                    ? null
                    : zoneEjection.consensus().state(i);
            String state =
                zone.trafficFraction() == 0
                    ? "out"
                    : zone.trafficFraction() < 1 ? "returning" : "in";
            text.append(
                String.format(
                    Locale.ROOT,
                    "%s state=%s share=%.2f servers=%d usable=%d",
                    config.names().zones().get(i),
                    verdict == null ? state : verdict.state().name().toLowerCase(Locale.ROOT),
                    zone.trafficFraction(),
                    zone.listedEndpoints(),
                    zone.usableEndpoints()));
            long since = verdict == null ? zone.sinceNanos() : verdict.sinceNanos();
            text.append(
                since == 0 ? "" : " since_s=" + TimeUnit.NANOSECONDS.toSeconds(now - since));
            text.append(
                zone.byOperator()
                    ? " why=hand"
                    : verdict == null || verdict.decidedBy() == ZoneEjectionState.DecidedBy.NONE
                        ? ""
                        : " why="
                            + verdict.decidedBy().name().toLowerCase(Locale.ROOT)
                            + " witnesses="
                            + verdict.votes()
                            + " relapses="
                            + verdict.relapses());
            text.append('\n');
          }
          return text.toString();
        });
  }

  /** The version of the list that it goes by; on the loop only. */
  public long revision() {
    return discovery.revision();
  }

  /** What operators read, a figure a line; any thread. */
  @Override
  public String metricsText() {
    return figures.render();
  }

  private CompletableFuture<String> command(Callable<String> what) {
    CompletableFuture<String> done = new CompletableFuture<>();
    loop.execute(
        () -> {
          try {
            done.complete(what.call());
          } catch (Exception e) {
            LOG.warn("operator_command_failed", field("error", e));
            done.completeExceptionally(e);
          }
        });
    return done;
  }

  /**
   * Follows what another process of this edge node was told, and tells the figures that only the
   * module knows.
   */
  private void refresh() {
    Set<String> out = endpointEjectionFile.changed();
    if (out != null) {
      event(null, now -> policy.restoreEjectedEndpoints(now, out));
      out.forEach(upstreamPool::endpointEjected);
    }
    Set<String> zones = zoneEjectionFile.changed();
    if (zones != null) {
      Set<Integer> numbers =
          zones.stream()
              .map(config.names().zones()::indexOf)
              .filter(zone -> zone >= 0)
              .collect(Collectors.toSet());
      event(null, now -> policy.restoreEjectedZones(now, numbers));
    }
    applyBudget(slots.otherLives() ? 2 : 1);
    updateMetrics();
  }

  /** How the descriptors are shared out now; any thread. */
  DescriptorBudget budget() {
    return budget;
  }

  @Override
  public int maxOperatorConnections() {
    return budget.operators();
  }

  /** No descriptor is left for an operator's call: clients give up some of theirs. */
  @Override
  public void descriptorsExhausted() {
    loop.execute(clients::descriptorsExhausted);
  }

  /**
   * Keeps to this process's part of the descriptors, which all processes of this edge node hold
   * together.
   */
  private DescriptorBudget applyBudget(int processes) {
    budget =
        DescriptorBudget.of(
            config.connections(), config.sockets(), processes, upstreamPool.endpointCount());
    clients.applyBudget(budget);
    upstreamPool.applyBudget(budget);
    bufferedBodies.applyBudget(budget);
    return budget;
  }

  private void updateMetrics() {
    figures.servers(upstreamPool.endpointCount(), policy.avoidedEndpoints().size());
    if (zoneEjection != null) {
      figures.zones(
          zoneEjection.consensus().ejectedZones(),
          zoneEjection.consensus().voteCalls(),
          zoneEjection.consensus().probes());
    }
  }

  @Override
  public void close() {
    clients.close();
    if (group != null) {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }

  @Override
  public long nowNanos() {
    return System.nanoTime() + clockOffset;
  }

  /**
   * Runs one event of the module. Sockets may report within an action, that is within an event, and
   * the module must not be entered twice: such a report waits for the loop.
   */
  private void event(InFlightRequest about, LongConsumer call) {
    if (inPolicyEvent) {
      loop.execute(() -> event(about, call));
      return;
    }
    inPolicyEvent = true;
    try {
      call.accept(nowNanos());
    } catch (RuntimeException e) {
      // One request's trouble must not end the process, nor leave that request without an answer.
      LOG.warn("policy_event_failed", field("error", e));
      if (about != null) {
        fail(about);
      }
    } finally {
      inPolicyEvent = false;
    }
  }

  /** The list of app servers, or changes to it. */
  @Override
  public void endpointListReceived(NodeConfig.EndpointList roll, EndpointListKind kind) {
    long read = System.nanoTime();
    upstreamPool.updateEndpoints(roll, kind != EndpointListKind.DELTA);
    event(
        null,
        now -> {
          figures.worded(System.nanoTime() - read);
          policy.endpointsUpdated(
              now, kind, roll.entries().stream().map(NodeConfig.EndpointEntry::endpoint).toList());
        });
  }

  /** From now on the front may send here, unless the process ends; not for the loop's thread. */
  public void admit() {
    // Done when this returns: whoever then tells the other process to end counts on it.
    loop.submit(
            () -> {
              if (!clients.stopping()) {
                slots.take(true);
                admitted = true;
                taking = true;
              }
            })
        .syncUninterruptibly();
  }

  /** Whether the process ends; any thread. */
  boolean stopping() {
    return clients.stopping();
  }

  /**
   * Whether clients are wanted, and discovery was heard or silent for so long that the known list
   * must do; any thread.
   */
  @Override
  public boolean ready() {
    return taking && discovery.hasStarted() && !clients.draining();
  }

  /**
   * What the front is told: it sees one edge node, be it this process or its successor that takes
   * clients.
   */
  @Override
  public boolean healthy() {
    return admitted && discovery.hasStarted() && (!clients.draining() || clients.isSuperseded());
  }

  /** The deadline that the module is told, for a client that waits {@code span} from now. */
  @Override
  public long policyDeadlineNanos(long now, long span) {
    return now + Math.max(MS, span - ANSWER_MARGIN);
  }

  /**
   * Has a request refused that can't be carried here; false if its id is that of one still open.
   */
  @Override
  public boolean rejectOverCapacity(InFlightRequest away) {
    if (!enter(away)) {
      return false;
    }
    event(away, now -> policy.requestOverHostCapacity(now, away.request));
    return true;
  }

  private boolean enter(InFlightRequest request) {
    if (inFlight.putIfAbsent(request.request.id(), request) != null) {
      return false;
    }
    figures.taken();
    return true;
  }

  /** Takes a request; false if its id is that of one still open. */
  @Override
  public boolean accept(InFlightRequest taken) {
    if (!enter(taken)) {
      return false;
    }
    // A client's time counts from its last byte.
    if (taken.upload == null) {
      backstop(taken, taken.request.deadlineNanos() + ANSWER_MARGIN);
    }
    event(taken, now -> policy.requestReceived(now, taken.request));
    return true;
  }

  /**
   * For a module that is late: no request may be left without an answer when its client's time is
   * over, at {@code due}.
   */
  private void backstop(InFlightRequest of, long due) {
    of.clientDeadlineNanos = due;
    of.clientDeadlineTimer = at(due - LAST_MOMENT, () -> overdue(of));
  }

  private Future<?> at(long time, Runnable task) {
    return loop.schedule(task, Math.max(0, time - nowNanos()), TimeUnit.NANOSECONDS);
  }

  /** A part of a long body is no longer held here. */
  @Override
  public void bodyForwarded(InFlightRequest of) {
    event(of, now -> policy.bodyForwarded(now, of.request.id()));
  }

  /** The last byte of a long body came. */
  @Override
  public void uploadCompleted(InFlightRequest of, long left) {
    if (!of.answered) {
      backstop(of, nowNanos() + left);
      event(of, now -> policy.uploadCompleted(now, of.request.id()));
    }
  }

  /** An app server begins a long answer; where its pieces go, or null if nobody waits for them. */
  @Override
  public Channel responseStarted(
      InFlightRequest of, long length, long took, String server, Runnable gone) {
    InFlightRequest.ResponseWriter answers = of.claimResponse();
    if (answers == null) {
      return null;
    }
    // The module's deadline does not bind what follows, and the server has done its work.
    tellEnd(of, Outcome.OK, took, server, 0);
    of.attemptInFlight = false;
    settle(of);
    Channel to = answers.startStream(length, gone);
    of.clientDeadlineTimer =
        at(of.clientDeadlineNanos - LAST_MOMENT, answers::abortUnfinishedResponse);
    return to;
  }

  /** A long answer has been passed on, or {@code how} else it ended; null if its client left. */
  @Override
  public void responseEnded(InFlightRequest of, RequestEnd how) {
    cancelBackstop(of);
    figures.ended(of.request.requestClass(), how);
  }

  private static void cancelBackstop(InFlightRequest of) {
    if (of.clientDeadlineTimer != null) {
      of.clientDeadlineTimer.cancel(false);
    }
  }

  private void overdue(InFlightRequest late) {
    if (!late.answered) {
      fail(late);
      event(null, now -> policy.clientDisconnected(now, late.request.id()));
      late.cancelUnsentAttempt();
    }
  }

  /**
   * The client left before its answer: what of its attempt has not begun does not begin any more.
   */
  @Override
  public void clientDisconnected(InFlightRequest gone) {
    if (answerOnce(gone, null) != null) {
      settle(gone);
      event(gone, now -> policy.clientDisconnected(now, gone.request.id()));
      gone.cancelUnsentAttempt();
    }
  }

  /**
   * The client ended its sending, or left, and which of these can't be asked: an answer that is on
   * its way is still its, but no attempt begins any more.
   */
  @Override
  public void clientPossiblyDisconnected(InFlightRequest unsure) {
    unsure.lastAttempt = true;
    event(unsure, now -> policy.clientDisconnected(now, unsure.request.id()));
    unsure.cancelUnsentAttempt();
    if (!unsure.attemptInFlight) {
      endLast(unsure);
    }
  }

  /** No attempt follows: refused if none may have run. */
  private void endLast(InFlightRequest of) {
    if (of.firstPossibleExecutionNanos == Long.MIN_VALUE) {
      reject(of.request.id(), 0);
    } else {
      fail(of);
    }
  }

  /** An attempt ended; {@code body} is an app server's whole 200 answer, and stays the caller's. */
  @Override
  public void attemptEnded(
      InFlightRequest of, Outcome outcome, long took, String server, double units, ByteBuf body) {
    of.attemptInFlight = false;
    if (outcome == Outcome.OK) {
      InFlightRequest.ResponseWriter answers = answerOnce(of, RequestEnd.PASSED);
      if (answers != null) {
        answers.sendResponse(body);
      }
    }
    tellEnd(of, outcome, took, server, units);
    if (of.lastAttempt) {
      endLast(of);
    }
    settle(of);
  }

  private void tellEnd(
      InFlightRequest of, Outcome outcome, long took, String server, double units) {
    boolean complete = of.answered;
    int attempt = of.attempts - 1;
    event(
        of,
        now ->
            policy.attemptEnded(
                now,
                new AttemptResult(
                    of.request.id(), outcome, took, server, complete, attempt, units, List.of())));
  }

  /** The one place that settles how a request ends; null if that is settled already. */
  private InFlightRequest.ResponseWriter answerOnce(InFlightRequest of, RequestEnd how) {
    InFlightRequest.ResponseWriter answers = of.claimResponse();
    if (answers != null) {
      figures.ended(of.request.requestClass(), how);
    }
    return answers;
  }

  private void counted(long name, Outcome outcome, double total) {
    figures.counted(outcome == Outcome.OK);
    boolean ballot = zoneEjection != null && ZoneEjectionController.ownsCounterKey(name);
    event(
        null,
        now -> {
          if (ballot) {
            zoneEjection.counterReplied(now, name, outcome, total);
          } else {
            policy.counterReplied(now, name, outcome, total);
          }
        });
  }

  /** Forgets a request once it is answered and no attempt of it is out. */
  private void settle(InFlightRequest of) {
    if (of.answered && !of.attemptInFlight && inFlight.remove(of.request.id(), of)) {
      cancelBackstop(of);
      of.release();
    }
  }

  @Override
  public void sendAttempt(String id, String server, long patience) {
    InFlightRequest of = inFlight.get(id);
    if (of == null || of.answered || of.attemptInFlight) {
      if (of != null) {
        LOG.warn("attempt_not_allowed", field("error", new IllegalStateException(id)));
      }
      return;
    }
    of.attempts++;
    of.attemptInFlight = true;
    upstreamPool.send(of, server, patience);
  }

  @Override
  public void reject(String id, long retryAfter) {
    InFlightRequest of = inFlight.get(id);
    InFlightRequest.ResponseWriter answers = of == null ? null : answerOnce(of, RequestEnd.DROPPED);
    if (answers != null) {
      answers.sendRejection(retryAfter);
      settle(of);
    }
  }

  @Override
  public void fail(String id) {
    InFlightRequest of = inFlight.get(id);
    if (of != null) {
      fail(of);
    }
  }

  private void fail(InFlightRequest of) {
    InFlightRequest.ResponseWriter answers = answerOnce(of, RequestEnd.BAD_GATEWAY);
    if (answers != null) {
      answers.sendFailure();
      settle(of);
    }
  }

  @Override
  public void healthCheck(String server) {
    // The site does not allow it, and the module asks only where the settings do.
  }

  @Override
  public void addToCounter(long name, double amount, long lifetime) {
    counter.add(name, amount, lifetime);
  }

  @Override
  public void scheduleTimer(long token, long span) {
    long due = System.nanoTime() + span;
    loop.schedule(
        () -> {
          long came = System.nanoTime();
          stallDetector.tick(came);
          figures.late(came - due);
          event(null, now -> policy.timerFired(now, token));
        },
        span,
        TimeUnit.NANOSECONDS);
  }

  @Override
  public void subscribeToEndpoints() {
    // Discovery is watched from the start and again whenever a watch ends.
  }

  @Override
  public void log(String text) {
    System.out.println(text);
  }
}

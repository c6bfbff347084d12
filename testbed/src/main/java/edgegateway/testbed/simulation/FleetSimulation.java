package edgegateway.testbed.simulation;

import edgegateway.policy.api.Endpoint;
import edgegateway.policy.api.EndpointState;
import edgegateway.policy.api.PolicySettings;
import edgegateway.protocol.PolicySettingsReader;
import edgegateway.protocol.SettingsFlattener;
import edgegateway.testbed.checker.HistoryEvent;
import edgegateway.testbed.fleet.NodeConfigWriter;
import edgegateway.testbed.fleet.Topology;
import edgegateway.testbed.network.ActiveFaults;
import edgegateway.testbed.network.LinkConditions;
import edgegateway.testbed.network.NetworkPeer;
import edgegateway.testbed.network.PeerSelector;
import edgegateway.testbed.scenario.CounterFaults;
import edgegateway.testbed.scenario.FaultSchedule;
import edgegateway.testbed.scenario.FaultTarget;
import edgegateway.testbed.scenario.RunResult;
import edgegateway.testbed.scenario.Scenario;
import edgegateway.testbed.scenario.Scenario.Trouble;
import edgegateway.testbed.scenario.ServerFaults;
import edgegateway.testbed.workload.ArrivalGenerator;
import edgegateway.testbed.workload.RequestArrival;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * One play of a scenario on a clock of its own: the program's module in each node, the lab's
 * stand-ins around them. The same scenario and seed give the same history, on any machine.
 */
public final class FleetSimulation implements FaultTarget {
  /** Not 0: that stands for long ago. */
  private static final long START_NANOS = 1_000_000_000_000L;

  /** Long enough for all nodes to be ready, as a play on processes waits for them. */
  private static final long SETTLE_NANOS = 3_000_000_000L;

  /** When the first request may arrive, on the clock of a play's events. */
  public static final long FIRST_ARRIVAL_NANOS = START_NANOS + SETTLE_NANOS;

  private static final long END_MARGIN_NANOS = 1_000_000_000L;
  private static final double CORES = 4;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long BYTES_PER_MEGABYTE = 1 << 20;

  /** By then an answer that was given is heard. */
  private static final long RESPONSE_HEARD_NANOS = 100_000_000L;

  /** How often a change of the list is measured at each node, after the play. */
  private static final int MEASURED_LIST_CHANGES = 5;

  private final Scenario scenario;
  private final List<RequestArrival> arrivals;
  private final Topology topology;
  private final VirtualClock clock = new VirtualClock(START_NANOS);
  private final ActiveFaults faults = new ActiveFaults();
  private final SplittableRandom random;
  private final SimulatedNetwork network;
  private final Consumer<HistoryEvent> history;
  private final SimulationMeter meter = new SimulationMeter();
  private final Map<String, SimulatedArchiveServer> servers = new LinkedHashMap<>();
  private final List<SimulatedNode> nodes = new ArrayList<>();
  private final SimulatedCounter counter;

  /** What discovery tells; null to be made anew. */
  private List<Endpoint> cachedEndpoints;

  private final ArrayDeque<FaultSchedule.Step> steps = new ArrayDeque<>();

  private FleetSimulation(
      Scenario scenario,
      long idleTimeoutNanos,
      Consumer<HistoryEvent> history,
      Consumer<String> log)
      throws IOException {
    this.scenario = scenario;
    this.history = history;
    arrivals = scenario.arrivals();
    topology = scenario.topology().topology();
    random = new SplittableRandom(scenario.seed());
    network = new SimulatedNetwork(clock, faults, random.split());
    for (NetworkPeer server : topology.servers()) {
      servers.put(
          server.name(),
          new SimulatedArchiveServer(clock, server, scenario.servers().terms(), history));
    }
    counter = new SimulatedCounter(clock, topology.counter(), scenario.counter().terms());
    for (NetworkPeer node : topology.nodes()) {
      PolicySettings settings =
          PolicySettingsReader.read(
              SettingsFlattener.flatten(
                  NodeConfigWriter.settings(topology, scenario.told(), node)));
      nodes.add(
          new SimulatedNode(
              node,
              new SimulatedNode.Environment(
                  clock,
                  network,
                  settings,
                  scenario.told().zones(),
                  topology.zones(),
                  this::endpoints,
                  servers,
                  counter,
                  idleTimeoutNanos,
                  meter,
                  id -> ArrivalGenerator.findByAttemptId(arrivals, id).work(),
                  this::recordNotification,
                  (who, text) ->
                      log.accept(
                          String.format(
                              "%.3f s %s: %s",
                              (clock.now() - START_NANOS - SETTLE_NANOS) / 1e9, who.name(), text))),
              random.split()));
    }
  }

  /**
   * Plays a scenario from its start to its last answer and judges it; {@code log} hears the nodes'
   * own lines.
   */
  public static RunResult run(Scenario scenario, Consumer<String> log)
      throws IOException, InterruptedException {
    List<HistoryEvent> history = new ArrayList<>();
    FleetSimulation simulation =
        new FleetSimulation(scenario, SimulatedConnectionPool.NO_IDLE_TIMEOUT, history::add, log);
    long firstArrivalNanos = simulation.begin();
    simulation.advance(
        firstArrivalNanos,
        firstArrivalNanos
            + Math.max(
                simulation.longestNanos(),
                simulation.steps.isEmpty() ? 0 : simulation.steps.getLast().at()));
    simulation.servers.values().forEach(simulation::recordWarmUpPressure);
    return RunResult.of(
        scenario, simulation.arrivals, history, firstArrivalNanos, simulation.clock.now());
  }

  /**
   * A play that keeps no history, so that a large fleet's fits into memory; nobody judges it.
   *
   * @param idleTimeoutNanos for how long edge nodes keep idle connections, in nanoseconds
   * @param from from when on the meter counts, in nanoseconds from the first arrival; to the last
   *     arrival
   * @param history hears each event when it happens, its clock as {@link #FIRST_ARRIVAL_NANOS}
   *     tells
   * @param progress hears how far it is
   */
  public static Measurements measure(
      Scenario scenario,
      long idleTimeoutNanos,
      long from,
      Consumer<HistoryEvent> history,
      Consumer<String> progress)
      throws IOException, InterruptedException {
    long before = heap();
    FleetSimulation simulation =
        new FleetSimulation(scenario, idleTimeoutNanos, history, line -> {});
    long bare = heap();
    long firstArrivalNanos = simulation.begin();
    double perNode = (heap() - bare) / (double) simulation.nodes.size();
    progress.accept(
        String.format(
            Locale.ROOT,
            "%d requests drawn, %d nodes up, heap %d MB",
            simulation.arrivals.size(),
            simulation.nodes.size(),
            (heap() - before) / BYTES_PER_MEGABYTE));
    simulation.advanceBySeconds(firstArrivalNanos, from, progress);
    simulation.meter.on(true);
    long wall = System.nanoTime();
    simulation.advanceBySeconds(
        firstArrivalNanos, (long) (scenario.spanS() * NANOS_PER_SECOND), progress);
    wall = System.nanoTime() - wall;
    simulation.meter.on(false);
    Map<SimulatedArchiveServer, Integer> byServer = new HashMap<>();
    int connections = simulation.nodes.stream().mapToInt(node -> node.connections(byServer)).sum();
    long used = heap() - before;
    simulation.drainInFlight(firstArrivalNanos);
    simulation.servers.values().forEach(simulation::recordWarmUpPressure);
    Endpoint first = simulation.endpoints().get(0);
    for (int i = 0; i < MEASURED_LIST_CHANGES; i++) {
      simulation.nodes.forEach(node -> node.notifyEndpoint(first));
    }
    return new Measurements(
        simulation.meter,
        connections,
        byServer.values().stream().mapToInt(one -> one).max().orElse(0),
        perNode,
        used,
        wall / (scenario.spanS() * NANOS_PER_SECOND - from));
  }

  /**
   * What a measured play came to.
   *
   * @param connections to archive servers at the end, all together
   * @param maxConnectionsToOneServer to any one of them
   * @param heapBytesPerNode bytes that a node's module holds with its list, before any request
   * @param heapBytes bytes that the whole play held at the end
   * @param wallSecondsPerSecond how many seconds of the machine a second took
   */
  public record Measurements(
      SimulationMeter meter,
      int connections,
      int maxConnectionsToOneServer,
      double heapBytesPerNode,
      long heapBytes,
      double wallSecondsPerSecond) {}

  /** What is in use once all that nobody holds is gone. */
  private static long heap() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  /** Starts all; when the first request may come. */
  private long begin() {
    nodes.forEach(SimulatedNode::start);
    clock.advanceTo(FIRST_ARRIVAL_NANOS);
    new SimulatedClients(clock, network, topology.front(), nodes, scenario.asking(), history)
        .sendAll(arrivals);
    steps.addAll(FaultSchedule.of(scenario, this));
    return clock.now();
  }

  private long longestNanos() {
    return END_MARGIN_NANOS
        + arrivals.stream().mapToLong(one -> one.at() + one.deadline()).max().orElse(0);
  }

  /** Plays on to a moment, second by second. */
  private void advanceBySeconds(long firstArrivalNanos, long endNanos, Consumer<String> progress)
      throws IOException, InterruptedException {
    long wall = System.nanoTime();
    while (clock.now() < firstArrivalNanos + endNanos) {
      advance(
          firstArrivalNanos,
          Math.min(firstArrivalNanos + endNanos, clock.now() + (long) NANOS_PER_SECOND));
      progress.accept(
          String.format(
              Locale.ROOT,
              "%.0f of %.0f s, %.1f s of the machine, %d MB",
              (clock.now() - firstArrivalNanos) / NANOS_PER_SECOND,
              scenario.spanS(),
              (System.nanoTime() - wall) / NANOS_PER_SECOND,
              (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory())
                  / BYTES_PER_MEGABYTE));
    }
  }

  /** What was asked is over before the counts are read, each in its time. */
  private void drainInFlight(long firstArrivalNanos) throws IOException, InterruptedException {
    long endNanos = firstArrivalNanos + longestNanos();
    while (clock.now() < endNanos && !nodes.stream().allMatch(SimulatedNode::idle)) {
      advance(firstArrivalNanos, clock.now() + RESPONSE_HEARD_NANOS);
    }
    advance(firstArrivalNanos, clock.now() + RESPONSE_HEARD_NANOS);
  }

  private void advance(long firstArrivalNanos, long endNanos)
      throws IOException, InterruptedException {
    while (!steps.isEmpty() && firstArrivalNanos + steps.peek().at() <= endNanos) {
      FaultSchedule.Step step = steps.poll();
      clock.advanceTo(firstArrivalNanos + step.at());
      step.change().make();
    }
    clock.advanceTo(endNanos);
  }

  private void killServer(SimulatedArchiveServer server) {
    recordWarmUpPressure(server);
    history.accept(new HistoryEvent.ServerDied(now(), server.peer().name()));
    server.kill();
  }

  private void recordWarmUpPressure(SimulatedArchiveServer server) {
    lived(server.peer(), server.warmUpPressure(), server.overloadedAtNanos());
  }

  private List<Endpoint> endpoints() {
    if (cachedEndpoints == null) {
      cachedEndpoints = servers.values().stream().map(this::endpointOf).toList();
    }
    return cachedEndpoints;
  }

  private Endpoint endpointOf(SimulatedArchiveServer of) {
    int zone = topology.zones().indexOf(of.peer().zone());
    return new Endpoint(
        of.peer().name(),
        CORES,
        zone,
        zone,
        0,
        of.draining() ? EndpointState.DRAINING : EndpointState.READY,
        of.startedAtNanos());
  }

  @Override
  public long now() {
    return clock.now();
  }

  @Override
  public void seen(HistoryEvent event) {
    history.accept(event);
  }

  @Override
  public void fault(
      String name, PeerSelector from, PeerSelector to, boolean both, LinkConditions conditions) {
    faults.set(name, from, to, both, conditions);
  }

  @Override
  public void clear(String name) {
    faults.clear(name);
  }

  @Override
  public void begin(Scenario.Trouble what, PeerSelector selector, long durationNanos) {
    if (what == Trouble.ZONE_OUT) {
      nodes.forEach(node -> node.setZoneEjected(topology.zones().indexOf(selector.name()), true));
      return;
    }
    for (SimulatedNode node : nodes(selector)) {
      switch (what) {
        case KILL -> {
          recordCutOff(node, 0);
          node.kill();
        }
        case STOP -> {
          recordCutOff(node, durationNanos);
          node.pause();
        }
        case TERM -> node.term();
        case SILENT -> node.setDiscoverySilenced(true);
        case DRAIN, SLOW, FAILING, ZONE_OUT -> {}
      }
    }
    for (SimulatedArchiveServer server : servers(selector)) {
      SplittableRandom serverRandom = random.split();
      server.apply(core -> ServerFaults.begin(what, core, now(), serverRandom));
      if (what == Trouble.KILL) {
        killServer(server);
      } else if (what == Trouble.DRAIN) {
        server.drain();
        announce(server);
      }
    }
  }

  @Override
  public void end(Scenario.Trouble what, PeerSelector selector) {
    if (what == Trouble.ZONE_OUT) {
      nodes.forEach(node -> node.setZoneEjected(topology.zones().indexOf(selector.name()), false));
      return;
    }
    for (SimulatedArchiveServer server : servers(selector)) {
      server.apply(core -> ServerFaults.end(what, core, now()));
      if (what == Trouble.DRAIN) {
        killServer(server);
      }
      if (what == Trouble.DRAIN || what == Trouble.KILL) {
        server.start();
        history.accept(new HistoryEvent.ServerStarted(now(), server.peer().name()));
        announce(server);
      }
    }
    for (SimulatedNode node : nodes(selector)) {
      switch (what) {
        case KILL, TERM -> node.start();
        case STOP -> node.resume();
        case SILENT -> node.setDiscoverySilenced(false);
        case DRAIN, SLOW, FAILING, ZONE_OUT -> {}
      }
    }
  }

  private void recordCutOff(SimulatedNode node, long durationNanos) {
    history.accept(
        new HistoryEvent.NodeCutOff(
            now(), node.peer().name(), now() + durationNanos + FaultSchedule.GRACE));
  }

  private void announce(SimulatedArchiveServer server) {
    cachedEndpoints = null;
    Endpoint entry = endpointOf(server);
    clock.runAfter(FaultSchedule.TOLD, () -> nodes.forEach(node -> node.notifyEndpoint(entry)));
  }

  private void recordNotification(NetworkPeer node, Endpoint entry) {
    if (entry.state() != EndpointState.READY) {
      history.accept(new HistoryEvent.DrainNotified(now(), node.name(), entry.id()));
    } else if (entry.startedAtNanos() > 0) {
      history.accept(new HistoryEvent.RestartNotified(now(), node.name(), entry.id()));
    }
  }

  private List<SimulatedNode> nodes(PeerSelector selector) {
    return nodes.stream().filter(node -> selector.matches(node.peer())).toList();
  }

  private List<SimulatedArchiveServer> servers(PeerSelector selector) {
    return servers.values().stream().filter(server -> selector.matches(server.peer())).toList();
  }

  @Override
  public void begin(Scenario.CounterTrouble what) {
    counter.apply(core -> CounterFaults.begin(what, core, now()));
  }

  @Override
  public void end(Scenario.CounterTrouble what) {
    counter.apply(core -> CounterFaults.end(what, core, now()));
  }
}

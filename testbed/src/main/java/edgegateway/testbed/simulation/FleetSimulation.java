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
  private static final long START = 1_000_000_000_000L;

  /** Long enough for all nodes to be ready, as a play on processes waits for them. */
  private static final long SETTLE = 3_000_000_000L;

  /** When the first request may arrive, on the clock of a play's events. */
  public static final long BEGUN = START + SETTLE;

  private static final long END = 1_000_000_000L;
  private static final double CORES = 4;
  private static final double SECOND = 1e9;
  private static final long MB = 1 << 20;

  /** By then an answer that was given is heard. */
  private static final long HEARD = 100_000_000L;

  /** How often a change of the list is measured at each node, after the play. */
  private static final int CHANGES = 5;

  private final Scenario scenario;
  private final List<RequestArrival> arrivals;
  private final Topology topology;
  private final VirtualClock timeline = new VirtualClock(START);
  private final ActiveFaults faults = new ActiveFaults();
  private final SplittableRandom chance;
  private final SimulatedNetwork network;
  private final Consumer<HistoryEvent> history;
  private final SimulationMeter meter = new SimulationMeter();
  private final Map<String, SimulatedArchiveServer> servers = new LinkedHashMap<>();
  private final List<SimulatedNode> nodes = new ArrayList<>();
  private final SimulatedCounter counter;

  /** What discovery tells; null to be made anew. */
  private List<Endpoint> listed;

  private final ArrayDeque<FaultSchedule.Step> steps = new ArrayDeque<>();

  private FleetSimulation(
      Scenario scenario, long keep, Consumer<HistoryEvent> history, Consumer<String> log)
      throws IOException {
    this.scenario = scenario;
    this.history = history;
    arrivals = scenario.arrivals();
    topology = scenario.topology().topology();
    chance = new SplittableRandom(scenario.seed());
    network = new SimulatedNetwork(timeline, faults, chance.split());
    for (NetworkPeer server : topology.servers()) {
      servers.put(
          server.name(),
          new SimulatedArchiveServer(timeline, server, scenario.servers().terms(), history));
    }
    counter = new SimulatedCounter(timeline, topology.counter(), scenario.counter().terms());
    for (NetworkPeer node : topology.nodes()) {
      PolicySettings settings =
          PolicySettingsReader.read(
              SettingsFlattener.of(NodeConfigWriter.settings(topology, scenario.told(), node)));
      nodes.add(
          new SimulatedNode(
              node,
              new SimulatedNode.Environment(
                  timeline,
                  network,
                  settings,
                  scenario.told().zones(),
                  topology.zones(),
                  this::list,
                  servers,
                  counter,
                  keep,
                  meter,
                  id -> ArrivalGenerator.of(arrivals, id).work(),
                  this::told,
                  (who, text) ->
                      log.accept(
                          String.format(
                              "%.3f s %s: %s",
                              (timeline.now() - START - SETTLE) / 1e9, who.name(), text))),
              chance.split()));
    }
  }

  /**
   * Plays a scenario from its start to its last answer and judges it; {@code log} hears the nodes'
   * own lines.
   */
  public static RunResult of(Scenario scenario, Consumer<String> log)
      throws IOException, InterruptedException {
    List<HistoryEvent> history = new ArrayList<>();
    FleetSimulation model =
        new FleetSimulation(scenario, SimulatedConnectionPool.EVER, history::add, log);
    long begun = model.begin();
    model.play(
        begun,
        begun + Math.max(model.longest(), model.steps.isEmpty() ? 0 : model.steps.getLast().at()));
    model.servers.values().forEach(model::last);
    return RunResult.of(scenario, model.arrivals, history, begun, model.timeline.now());
  }

  /**
   * A play that keeps no history, so that a large fleet's fits into memory; nobody judges it.
   *
   * @param keep for how long edge nodes keep idle connections, in nanoseconds
   * @param from from when on the meter counts, in nanoseconds from the first arrival; to the last
   *     arrival
   * @param history hears each event when it happens, its clock as {@link #BEGUN} tells
   * @param progress hears how far it is
   */
  public static Measurements measured(
      Scenario scenario,
      long keep,
      long from,
      Consumer<HistoryEvent> history,
      Consumer<String> progress)
      throws IOException, InterruptedException {
    long before = heap();
    FleetSimulation model = new FleetSimulation(scenario, keep, history, line -> {});
    long bare = heap();
    long begun = model.begin();
    double perNode = (heap() - bare) / (double) model.nodes.size();
    progress.accept(
        String.format(
            Locale.ROOT,
            "%d requests drawn, %d nodes up, heap %d MB",
            model.arrivals.size(),
            model.nodes.size(),
            (heap() - before) / MB));
    model.slices(begun, from, progress);
    model.meter.on(true);
    long wall = System.nanoTime();
    model.slices(begun, (long) (scenario.spanS() * SECOND), progress);
    wall = System.nanoTime() - wall;
    model.meter.on(false);
    Map<SimulatedArchiveServer, Integer> byServer = new HashMap<>();
    int connections = model.nodes.stream().mapToInt(node -> node.connections(byServer)).sum();
    long used = heap() - before;
    model.finish(begun);
    model.servers.values().forEach(model::last);
    Endpoint first = model.list().get(0);
    for (int i = 0; i < CHANGES; i++) {
      model.nodes.forEach(node -> node.told(first));
    }
    return new Measurements(
        model.meter,
        connections,
        byServer.values().stream().mapToInt(one -> one).max().orElse(0),
        perNode,
        used,
        wall / (scenario.spanS() * SECOND - from));
  }

  /**
   * What a measured play came to.
   *
   * @param connections to archive servers at the end, all together
   * @param mostConnections to any one of them
   * @param heapPerNode bytes that a node's module holds with its list, before any request
   * @param heap bytes that the whole play held at the end
   * @param pace how many seconds of the machine a second took
   */
  public record Measurements(
      SimulationMeter meter,
      int connections,
      int mostConnections,
      double heapPerNode,
      long heap,
      double pace) {}

  /** What is in use once all that nobody holds is gone. */
  private static long heap() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  /** Starts all; when the first request may come. */
  private long begin() {
    nodes.forEach(SimulatedNode::start);
    timeline.run(BEGUN);
    new SimulatedClients(timeline, network, topology.front(), nodes, scenario.asking(), history)
        .play(arrivals);
    steps.addAll(FaultSchedule.of(scenario, this));
    return timeline.now();
  }

  private long longest() {
    return END + arrivals.stream().mapToLong(one -> one.at() + one.deadline()).max().orElse(0);
  }

  /** Plays on to a moment, second by second. */
  private void slices(long begun, long until, Consumer<String> progress)
      throws IOException, InterruptedException {
    long wall = System.nanoTime();
    while (timeline.now() < begun + until) {
      play(begun, Math.min(begun + until, timeline.now() + (long) SECOND));
      progress.accept(
          String.format(
              Locale.ROOT,
              "%.0f of %.0f s, %.1f s of the machine, %d MB",
              (timeline.now() - begun) / SECOND,
              scenario.spanS(),
              (System.nanoTime() - wall) / SECOND,
              (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()) / MB));
    }
  }

  /** What was asked is over before the counts are read, each in its time. */
  private void finish(long begun) throws IOException, InterruptedException {
    long until = begun + longest();
    while (timeline.now() < until && !nodes.stream().allMatch(SimulatedNode::idle)) {
      play(begun, timeline.now() + HEARD);
    }
    play(begun, timeline.now() + HEARD);
  }

  private void play(long begun, long until) throws IOException, InterruptedException {
    while (!steps.isEmpty() && begun + steps.peek().at() <= until) {
      FaultSchedule.Step step = steps.poll();
      timeline.run(begun + step.at());
      step.change().make();
    }
    timeline.run(until);
  }

  private void die(SimulatedArchiveServer server) {
    last(server);
    history.accept(new HistoryEvent.Died(now(), server.party().name()));
    server.kill();
  }

  private void last(SimulatedArchiveServer server) {
    lived(server.party(), server.pressure(), server.fellAt());
  }

  private List<Endpoint> list() {
    if (listed == null) {
      listed = servers.values().stream().map(this::entry).toList();
    }
    return listed;
  }

  private Endpoint entry(SimulatedArchiveServer of) {
    int zone = topology.zones().indexOf(of.party().zone());
    return new Endpoint(
        of.party().name(),
        CORES,
        zone,
        zone,
        0,
        of.draining() ? EndpointState.DRAINING : EndpointState.READY,
        of.startedAt());
  }

  @Override
  public long now() {
    return timeline.now();
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
  public void begin(Scenario.Trouble what, PeerSelector whom, long span) {
    if (what == Trouble.ZONE_OUT) {
      nodes.forEach(node -> node.leaveZone(topology.zones().indexOf(whom.name()), true));
      return;
    }
    for (SimulatedNode node : nodes(whom)) {
      switch (what) {
        case KILL -> {
          lost(node, 0);
          node.kill();
        }
        case STOP -> {
          lost(node, span);
          node.pause();
        }
        case TERM -> node.term();
        case SILENT -> node.silence(true);
        case DRAIN, SLOW, FAILING, ZONE_OUT -> {}
      }
    }
    for (SimulatedArchiveServer server : servers(whom)) {
      SplittableRandom own = chance.split();
      server.on(core -> ServerFaults.begin(what, core, now(), own));
      if (what == Trouble.KILL) {
        die(server);
      } else if (what == Trouble.DRAIN) {
        server.drain();
        tell(server);
      }
    }
  }

  @Override
  public void end(Scenario.Trouble what, PeerSelector whom) {
    if (what == Trouble.ZONE_OUT) {
      nodes.forEach(node -> node.leaveZone(topology.zones().indexOf(whom.name()), false));
      return;
    }
    for (SimulatedArchiveServer server : servers(whom)) {
      server.on(core -> ServerFaults.end(what, core, now()));
      if (what == Trouble.DRAIN) {
        die(server);
      }
      if (what == Trouble.DRAIN || what == Trouble.KILL) {
        server.start();
        history.accept(new HistoryEvent.Started(now(), server.party().name()));
        tell(server);
      }
    }
    for (SimulatedNode node : nodes(whom)) {
      switch (what) {
        case KILL, TERM -> node.start();
        case STOP -> node.resume();
        case SILENT -> node.silence(false);
        case DRAIN, SLOW, FAILING, ZONE_OUT -> {}
      }
    }
  }

  private void lost(SimulatedNode node, long span) {
    history.accept(
        new HistoryEvent.Lost(now(), node.party().name(), now() + span + FaultSchedule.GRACE));
  }

  private void tell(SimulatedArchiveServer server) {
    listed = null;
    Endpoint entry = entry(server);
    timeline.after(FaultSchedule.TOLD, () -> nodes.forEach(node -> node.told(entry)));
  }

  private void told(NetworkPeer node, Endpoint entry) {
    if (entry.state() != EndpointState.READY) {
      history.accept(new HistoryEvent.Told(now(), node.name(), entry.id()));
    } else if (entry.startedAtNanos() > 0) {
      history.accept(new HistoryEvent.Learned(now(), node.name(), entry.id()));
    }
  }

  private List<SimulatedNode> nodes(PeerSelector whom) {
    return nodes.stream().filter(node -> whom.matches(node.party())).toList();
  }

  private List<SimulatedArchiveServer> servers(PeerSelector whom) {
    return servers.values().stream().filter(server -> whom.matches(server.party())).toList();
  }

  @Override
  public void begin(Scenario.CounterTrouble what) {
    counter.on(core -> CounterFaults.begin(what, core, now()));
  }

  @Override
  public void end(Scenario.CounterTrouble what) {
    counter.on(core -> CounterFaults.end(what, core, now()));
  }
}

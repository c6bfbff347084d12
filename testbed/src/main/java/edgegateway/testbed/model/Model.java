package edgegateway.testbed.model;

import edgegateway.policy.api.Endpoint;
import edgegateway.policy.api.EndpointState;
import edgegateway.policy.api.PolicySettings;
import edgegateway.protocol.PolicySettingsReader;
import edgegateway.protocol.SettingsFlattener;
import edgegateway.testbed.fleet.NodeConfig;
import edgegateway.testbed.fleet.Topology;
import edgegateway.testbed.judge.Event;
import edgegateway.testbed.load.Arrival;
import edgegateway.testbed.load.Arrivals;
import edgegateway.testbed.net.Conditions;
import edgegateway.testbed.net.Faults;
import edgegateway.testbed.net.Party;
import edgegateway.testbed.net.Selector;
import edgegateway.testbed.scenario.CounterFaults;
import edgegateway.testbed.scenario.Result;
import edgegateway.testbed.scenario.Scenario;
import edgegateway.testbed.scenario.Scenario.Trouble;
import edgegateway.testbed.scenario.Script;
import edgegateway.testbed.scenario.ServerFaults;
import edgegateway.testbed.scenario.Stage;
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
public final class Model implements Stage {
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
  private final List<Arrival> arrivals;
  private final Topology topology;
  private final Timeline timeline = new Timeline(START);
  private final Faults faults = new Faults();
  private final SplittableRandom chance;
  private final Network network;
  private final Consumer<Event> history;
  private final Meter meter = new Meter();
  private final Map<String, ServerHost> servers = new LinkedHashMap<>();
  private final List<NodeHost> nodes = new ArrayList<>();
  private final CounterHost counter;

  /** What discovery tells; null to be made anew. */
  private List<Endpoint> listed;

  private final ArrayDeque<Script.Step> steps = new ArrayDeque<>();

  private Model(Scenario scenario, long keep, Consumer<Event> history, Consumer<String> log)
      throws IOException {
    this.scenario = scenario;
    this.history = history;
    arrivals = scenario.arrivals();
    topology = scenario.topology().topology();
    chance = new SplittableRandom(scenario.seed());
    network = new Network(timeline, faults, chance.split());
    for (Party server : topology.servers()) {
      servers.put(
          server.name(), new ServerHost(timeline, server, scenario.servers().terms(), history));
    }
    counter = new CounterHost(timeline, topology.counter(), scenario.counter().terms());
    for (Party node : topology.nodes()) {
      PolicySettings settings =
          PolicySettingsReader.read(
              SettingsFlattener.of(NodeConfig.settings(topology, scenario.told(), node)));
      nodes.add(
          new NodeHost(
              node,
              new NodeHost.Surroundings(
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
                  id -> Arrivals.of(arrivals, id).work(),
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
  public static Result of(Scenario scenario, Consumer<String> log)
      throws IOException, InterruptedException {
    List<Event> history = new ArrayList<>();
    Model model = new Model(scenario, Pool.EVER, history::add, log);
    long begun = model.begin();
    model.play(
        begun,
        begun + Math.max(model.longest(), model.steps.isEmpty() ? 0 : model.steps.getLast().at()));
    model.servers.values().forEach(model::last);
    return Result.of(scenario, model.arrivals, history, begun, model.timeline.now());
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
  public static Measured measured(
      Scenario scenario, long keep, long from, Consumer<Event> history, Consumer<String> progress)
      throws IOException, InterruptedException {
    long before = heap();
    Model model = new Model(scenario, keep, history, line -> {});
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
    Map<ServerHost, Integer> byServer = new HashMap<>();
    int connections = model.nodes.stream().mapToInt(node -> node.connections(byServer)).sum();
    long used = heap() - before;
    model.finish(begun);
    model.servers.values().forEach(model::last);
    Endpoint first = model.list().get(0);
    for (int i = 0; i < CHANGES; i++) {
      model.nodes.forEach(node -> node.told(first));
    }
    return new Measured(
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
  public record Measured(
      Meter meter,
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
    nodes.forEach(NodeHost::start);
    timeline.run(BEGUN);
    new ClientsHost(timeline, network, topology.front(), nodes, scenario.asking(), history)
        .play(arrivals);
    steps.addAll(Script.of(scenario, this));
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
    while (timeline.now() < until && !nodes.stream().allMatch(NodeHost::idle)) {
      play(begun, timeline.now() + HEARD);
    }
    play(begun, timeline.now() + HEARD);
  }

  private void play(long begun, long until) throws IOException, InterruptedException {
    while (!steps.isEmpty() && begun + steps.peek().at() <= until) {
      Script.Step step = steps.poll();
      timeline.run(begun + step.at());
      step.change().make();
    }
    timeline.run(until);
  }

  private void die(ServerHost server) {
    last(server);
    history.accept(new Event.Died(now(), server.party().name()));
    server.kill();
  }

  private void last(ServerHost server) {
    lived(server.party(), server.pressure(), server.fellAt());
  }

  private List<Endpoint> list() {
    if (listed == null) {
      listed = servers.values().stream().map(this::entry).toList();
    }
    return listed;
  }

  private Endpoint entry(ServerHost of) {
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
  public void seen(Event event) {
    history.accept(event);
  }

  @Override
  public void fault(String name, Selector from, Selector to, boolean both, Conditions conditions) {
    faults.set(name, from, to, both, conditions);
  }

  @Override
  public void clear(String name) {
    faults.clear(name);
  }

  @Override
  public void begin(Scenario.Trouble what, Selector whom, long span) {
    if (what == Trouble.ZONE_OUT) {
      nodes.forEach(node -> node.leaveZone(topology.zones().indexOf(whom.name()), true));
      return;
    }
    for (NodeHost node : nodes(whom)) {
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
    for (ServerHost server : servers(whom)) {
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
  public void end(Scenario.Trouble what, Selector whom) {
    if (what == Trouble.ZONE_OUT) {
      nodes.forEach(node -> node.leaveZone(topology.zones().indexOf(whom.name()), false));
      return;
    }
    for (ServerHost server : servers(whom)) {
      server.on(core -> ServerFaults.end(what, core, now()));
      if (what == Trouble.DRAIN) {
        die(server);
      }
      if (what == Trouble.DRAIN || what == Trouble.KILL) {
        server.start();
        history.accept(new Event.Started(now(), server.party().name()));
        tell(server);
      }
    }
    for (NodeHost node : nodes(whom)) {
      switch (what) {
        case KILL, TERM -> node.start();
        case STOP -> node.resume();
        case SILENT -> node.silence(false);
        case DRAIN, SLOW, FAILING, ZONE_OUT -> {}
      }
    }
  }

  private void lost(NodeHost node, long span) {
    history.accept(new Event.Lost(now(), node.party().name(), now() + span + Script.GRACE));
  }

  private void tell(ServerHost server) {
    listed = null;
    Endpoint entry = entry(server);
    timeline.after(Script.TOLD, () -> nodes.forEach(node -> node.told(entry)));
  }

  private void told(Party node, Endpoint entry) {
    if (entry.state() != EndpointState.READY) {
      history.accept(new Event.Told(now(), node.name(), entry.id()));
    } else if (entry.startedAtNanos() > 0) {
      history.accept(new Event.Learned(now(), node.name(), entry.id()));
    }
  }

  private List<NodeHost> nodes(Selector whom) {
    return nodes.stream().filter(node -> whom.matches(node.party())).toList();
  }

  private List<ServerHost> servers(Selector whom) {
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

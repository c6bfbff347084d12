package edgegateway.testbed.scenario;

import edgegateway.testbed.checker.HistoryEvent;
import edgegateway.testbed.fakes.DiscoveryMember;
import edgegateway.testbed.fakes.DiscoveryMember.Phase;
import edgegateway.testbed.fakes.DiscoveryMessage;
import edgegateway.testbed.fakes.FakeArchiveServer;
import edgegateway.testbed.fakes.http.ArchiveServerHttpFake;
import edgegateway.testbed.fleet.Fleet;
import edgegateway.testbed.fleet.Topology;
import edgegateway.testbed.network.LinkConditions;
import edgegateway.testbed.network.NetworkPeer;
import edgegateway.testbed.network.PeerSelector;
import edgegateway.testbed.processes.DeployFile;
import edgegateway.testbed.processes.NodeProcess.Signal;
import edgegateway.testbed.scenario.Scenario.Trouble;
import edgegateway.testbed.workload.ClientRetryPolicy;
import edgegateway.testbed.workload.HttpClients;
import edgegateway.testbed.workload.RequestArrival;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/** One play of a scenario with real processes. */
public final class ScenarioRun implements FaultTarget, Fleet.History {
  private static final double SECOND = 1e9;

  /** The status of a process that kill -9 ended. */
  private static final int KILLED = 137;

  /** What one machine bears. */
  private static final int MOST_NODES = 40;

  private static final int MOST_SERVERS = 200;

  private static final long READY_S = 60;
  private static final long END_S = 30;
  private static final long LOOK_MS = 20;
  private final Scenario scenario;
  private final Topology topology;
  private final Queue<HistoryEvent> history = new ConcurrentLinkedQueue<>();
  private final Consumer<String> progress;
  private final Map<String, Long> works = new HashMap<>();
  private final SplittableRandom chance;
  private Fleet fleet;

  private ScenarioRun(Scenario scenario, Consumer<String> progress) {
    this.scenario = scenario;
    this.progress = progress;
    topology = scenario.topology().topology();
    chance = new SplittableRandom(scenario.seed());
  }

  /**
   * Plays a scenario from its start to its last answer.
   *
   * @param folder for the nodes' own folders
   * @param progress hears a line for each step
   * @throws IOException if a process or a socket can't be had
   */
  public static RunResult of(
      Scenario scenario, DeployFile deploy, Path folder, Consumer<String> progress)
      throws IOException, InterruptedException {
    return new ScenarioRun(scenario, progress).run(deploy, folder);
  }

  private RunResult run(DeployFile deploy, Path folder) throws IOException, InterruptedException {
    if (topology.nodes().size() > MOST_NODES || topology.servers().size() > MOST_SERVERS) {
      throw new IOException(
          "more than "
              + MOST_NODES
              + " nodes or "
              + MOST_SERVERS
              + " servers are for the model alone");
    }
    List<RequestArrival> arrivals = scenario.arrivals();
    arrivals.forEach(one -> works.put(one.id(), one.work()));
    long begun;
    EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (Fleet started =
        new Fleet(
            topology,
            deploy,
            folder,
            new Fleet.Settings(
                scenario.servers().terms(),
                scenario.counter().terms(),
                scenario.told(),
                id -> works.getOrDefault(ClientRetryPolicy.requestId(id), 1L)),
            this,
            scenario.seed())) {
      fleet = started;
      fleet.start(topology.nodes());
      ready();
      progress.accept(
          topology.nodes().size() + " nodes are ready, " + arrivals.size() + " requests follow");
      HttpClients clients =
          new HttpClients(
              loops.next(),
              node -> fleet.door(topology.nodes().get(node)),
              scenario.asking(),
              history::add);
      begun = System.nanoTime();
      CompletableFuture<Void> done = clients.sendAll(arrivals);
      for (FaultSchedule.Step step : FaultSchedule.of(scenario, this)) {
        long left = begun + step.at() - System.nanoTime();
        if (left > 0) {
          TimeUnit.NANOSECONDS.sleep(left);
        }
        progress.accept(
            String.format("%.2f s  %s", (System.nanoTime() - begun) / SECOND, step.text()));
        step.change().make();
      }
      await(done, arrivals);
      topology.servers().forEach(this::last);
      for (NetworkPeer node : topology.nodes()) {
        long first = begun;
        Files.write(
            folder.resolve(node.name()).resolve("log"),
            fleet.log(node).stream()
                .map(
                    line ->
                        String.format(
                            Locale.ROOT, "%.3f %s", (line.at() - first) / SECOND, line.text()))
                .toList());
      }
    } finally {
      loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
    List<HistoryEvent> all = List.copyOf(history);
    HistoryFile.write(folder, begun, all);
    return RunResult.of(scenario, arrivals, all, begun, System.nanoTime());
  }

  private void await(CompletableFuture<Void> done, List<RequestArrival> arrivals)
      throws IOException, InterruptedException {
    long longest = arrivals.stream().mapToLong(RequestArrival::deadline).max().orElse(0);
    try {
      done.get(
          (long) (scenario.spanS() * SECOND) + longest + TimeUnit.SECONDS.toNanos(END_S),
          TimeUnit.NANOSECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("the play does not end", e);
    }
  }

  private void ready() throws IOException, InterruptedException {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_S);
    for (NetworkPeer node : topology.nodes()) {
      while (!fleet.healthy(node)) {
        if (System.nanoTime() > until) {
          throw new IOException(node.name() + " is never ready: " + fleet.log(node));
        }
        Thread.sleep(LOOK_MS);
      }
    }
  }

  @Override
  public void told(long at, NetworkPeer node, DiscoveryMessage roll) {
    for (DiscoveryMember one : roll.members()) {
      if (one.phase() != Phase.READY) {
        history.add(new HistoryEvent.DrainNotified(at, node.name(), one.id()));
      } else if (one.upSince() > 0) {
        history.add(new HistoryEvent.RestartNotified(at, node.name(), one.id()));
      }
    }
  }

  @Override
  public void ended(long at, NetworkPeer node, int status, boolean asked) {
    if (!asked || status != 0 && status != KILLED) {
      history.add(new HistoryEvent.NodeCrashed(at, node.name(), status));
    }
  }

  @Override
  public ArchiveServerHttpFake.History of(NetworkPeer server) {
    return new ArchiveServerHttpFake.History() {
      @Override
      public void arrived(long at, String id, String key) {
        history.add(new HistoryEvent.AttemptReceived(at, id, server.name()));
      }

      @Override
      public void ended(long at, String id, FakeArchiveServer.Completion how) {
        if (how == FakeArchiveServer.Completion.REJECTED) {
          history.add(new HistoryEvent.AttemptRejected(at, id, server.name()));
        }
      }
    };
  }

  private void die(NetworkPeer server) throws IOException {
    last(server);
    history.add(new HistoryEvent.ServerDied(System.nanoTime(), server.name()));
    fleet.kill(server);
  }

  private void last(NetworkPeer server) {
    lived(server, fleet.pressure(server), fleet.fellAt(server));
  }

  @Override
  public long now() {
    return System.nanoTime();
  }

  @Override
  public void seen(HistoryEvent event) {
    history.add(event);
  }

  @Override
  public void fault(
      String name, PeerSelector from, PeerSelector to, boolean both, LinkConditions conditions)
      throws IOException {
    fleet.fault(name, from, to, both, conditions);
  }

  @Override
  public void clear(String name) throws IOException {
    fleet.clear(name);
  }

  @Override
  public void begin(Scenario.Trouble what, PeerSelector whom, long span)
      throws IOException, InterruptedException {
    if (what == Trouble.ZONE_OUT) {
      operators("zone-out " + whom.name());
      return;
    }
    for (NetworkPeer node : nodes(whom)) {
      long from = System.nanoTime();
      switch (what) {
        case KILL -> {
          fleet.signal(node, Signal.KILL);
          history.add(
              new HistoryEvent.NodeCutOff(
                  from, node.name(), System.nanoTime() + FaultSchedule.GRACE));
        }
        case STOP -> {
          fleet.signal(node, Signal.STOP);
          history.add(
              new HistoryEvent.NodeCutOff(from, node.name(), from + span + FaultSchedule.GRACE));
        }
        case TERM -> fleet.term(node);
        case SILENT -> fleet.silent(node, true);
        case DRAIN, SLOW, FAILING, ZONE_OUT -> {}
      }
    }
    for (NetworkPeer server : servers(whom)) {
      SplittableRandom own = chance.split();
      fleet.on(server, core -> ServerFaults.begin(what, core, System.nanoTime(), own));
      if (what == Trouble.KILL) {
        die(server);
      } else if (what == Trouble.DRAIN) {
        fleet.drain(server, FaultSchedule.TOLD);
      }
    }
  }

  @Override
  public void end(Scenario.Trouble what, PeerSelector whom)
      throws IOException, InterruptedException {
    if (what == Trouble.ZONE_OUT) {
      operators("zone-in " + whom.name());
      return;
    }
    for (NetworkPeer server : servers(whom)) {
      if (what == Trouble.SLOW || what == Trouble.FAILING) {
        fleet.on(server, core -> ServerFaults.end(what, core, System.nanoTime()));
      }
      if (what == Trouble.DRAIN) {
        die(server);
      }
      if (what == Trouble.DRAIN || what == Trouble.KILL) {
        history.add(new HistoryEvent.ServerStarted(System.nanoTime(), server.name()));
        fleet.restart(server, FaultSchedule.TOLD);
      }
    }
    if (what == Trouble.KILL || what == Trouble.TERM) {
      fleet.start(nodes(whom));
    }
    for (NetworkPeer node : nodes(whom)) {
      if (what == Trouble.STOP) {
        fleet.signal(node, Signal.CONT);
      } else if (what == Trouble.SILENT) {
        fleet.silent(node, false);
      }
    }
  }

  /** As operators do it: node by node, those that don't answer are left. */
  private void operators(String line) {
    for (NetworkPeer node : topology.nodes()) {
      try {
        progress.accept(node.name() + " " + line + ": " + fleet.call(node, line).trim());
      } catch (IOException e) {
        progress.accept(node.name() + " " + line + ": no answer, " + e.getMessage());
      }
    }
  }

  private List<NetworkPeer> nodes(PeerSelector whom) {
    return topology.nodes().stream().filter(node -> whom.matches(node)).toList();
  }

  private List<NetworkPeer> servers(PeerSelector whom) {
    return topology.servers().stream().filter(server -> whom.matches(server)).toList();
  }

  @Override
  public void begin(Scenario.CounterTrouble what) {
    fleet.counter().on(core -> CounterFaults.begin(what, core, System.nanoTime()));
  }

  @Override
  public void end(Scenario.CounterTrouble what) {
    fleet.counter().on(core -> CounterFaults.end(what, core, System.nanoTime()));
  }
}

package edgegateway.testbed.fleet;

import edgegateway.testbed.fakes.DiscoveryMember;
import edgegateway.testbed.fakes.DiscoveryMember.Phase;
import edgegateway.testbed.fakes.DiscoveryMessage;
import edgegateway.testbed.fakes.FakeArchiveServer;
import edgegateway.testbed.fakes.FakeArchiveServerSettings;
import edgegateway.testbed.fakes.FakeCounterSettings;
import edgegateway.testbed.fakes.http.ArchiveServerHttpFake;
import edgegateway.testbed.fakes.http.CounterHttpFake;
import edgegateway.testbed.fakes.http.DiscoveryHttpFake;
import edgegateway.testbed.network.ActiveFaults;
import edgegateway.testbed.network.LinkConditions;
import edgegateway.testbed.network.NetworkPeer;
import edgegateway.testbed.network.PeerSelector;
import edgegateway.testbed.network.TcpLink;
import edgegateway.testbed.processes.DeployFile;
import edgegateway.testbed.processes.NodeProcess;
import edgegateway.testbed.processes.NodeProcess.Line;
import edgegateway.testbed.processes.NodeProcess.Signal;
import edgegateway.testbed.processes.OperatorClient;
import edgegateway.testbed.processes.ProcessGuard;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

/**
 * Edge nodes as processes, their stand-ins, and a link between every two that speak. Faults and
 * processes are changed by one thread. Everything listens in 127.0.0.0/8 and ends with {@link
 * #close()} or with this process.
 */
public final class Fleet implements AutoCloseable {
  /** Hears what reaches an archive server and how it ends. */
  public interface History {
    /** What one server tells. */
    ArchiveServerHttpFake.History of(NetworkPeer server);

    /** A node is told this of the servers, by discovery or by its configuration at its start. */
    default void told(long at, NetworkPeer node, DiscoveryMessage roll) {}

    /**
     * A node's process ended with a status; {@code asked} is whether it was killed or told to end.
     */
    default void ended(long at, NetworkPeer node, int status, boolean asked) {}
  }

  /** What the stand-ins are made of. */
  public record Settings(
      FakeArchiveServerSettings servers,
      FakeCounterSettings counter,
      WorkloadSettings load,
      ToDoubleFunction<String> work) {}

  private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
  private static final int LOOPS = 2;
  private static final String SERVING = "serving address=";
  private static final String OPERATORS = "operators_listening address=";
  private static final String NEVER = "";

  /** A node that does not listen by then never will. */
  private static final long START_S = 60;

  private static final int HEALTH_MS = 2_000;
  private static final long CROSSING_MS = 50;

  /** Both ends of a link, and the link. */
  private record Link(NetworkPeer from, NetworkPeer to, TcpLink link) {}

  private final Topology topology;
  private final DeployFile deploy;
  private final Path folder;
  private final Settings terms;
  private final History history;
  private final SplittableRandom chance;
  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(LOOPS, NioIoHandler.newFactory());
  private final ProcessGuard guard = new ProcessGuard();
  private final ActiveFaults faults = new ActiveFaults();
  private final List<Link> ways = new CopyOnWriteArrayList<>();
  private final CounterHttpFake counter;
  private final Map<NetworkPeer, ArchiveServerHttpFake> servers = new LinkedHashMap<>();
  private final Map<NetworkPeer, Long> startedMs = new HashMap<>();
  private final Map<NetworkPeer, Phase> phases = new HashMap<>();
  private final Map<NetworkPeer, Map<NetworkPeer, InetSocketAddress>> reached = new HashMap<>();
  private final Map<NetworkPeer, DiscoveryHttpFake> agents = new HashMap<>();
  private final Map<NetworkPeer, NodeProcess> processes = new HashMap<>();

  /** Nodes whose processes are to end. */
  private final Set<NetworkPeer> ending = ConcurrentHashMap.newKeySet();

  private final Map<NetworkPeer, InetSocketAddress> doors = new HashMap<>();
  private final Map<NetworkPeer, List<Line>> logs = new ConcurrentHashMap<>();
  private long revision = 1;

  /** Starts the stand-ins, all warm, and their links; no edge node yet. */
  public Fleet(
      Topology topology, DeployFile deploy, Path folder, Settings terms, History history, long seed)
      throws IOException {
    this.topology = topology;
    this.deploy = deploy;
    this.folder = folder;
    this.terms = terms;
    this.history = history;
    chance = new SplittableRandom(seed);
    counter = new CounterHttpFake(loops.next(), ANY, terms.counter());
    for (NetworkPeer server : topology.servers()) {
      startedMs.put(server, 0L);
      phases.put(server, Phase.READY);
      servers.put(
          server,
          new ArchiveServerHttpFake(
              loops.next(),
              ANY,
              terms.servers(),
              System.nanoTime() - terms.servers().slowStartNanos(),
              terms.work(),
              history.of(server)));
    }
    for (NetworkPeer node : topology.nodes()) {
      Map<NetworkPeer, InetSocketAddress> to = new LinkedHashMap<>();
      for (NetworkPeer server : topology.servers()) {
        to.put(server, link(node, server, servers.get(server).address()));
      }
      reached.put(node, to);
      agents.put(
          node,
          new DiscoveryHttpFake(
              loops.next(), ANY, list(node), (at, roll) -> history.told(at, node, roll)));
    }
  }

  private InetSocketAddress link(NetworkPeer from, NetworkPeer to, InetSocketAddress target)
      throws IOException {
    TcpLink link =
        new TcpLink(
            loops.next(),
            ANY,
            target,
            () -> faults.between(from, to),
            () -> faults.between(to, from),
            chance.split());
    ways.add(new Link(from, to, link));
    return link.address();
  }

  private DiscoveryMessage list(NetworkPeer node) {
    return new DiscoveryMessage(
        revision, true, topology.servers().stream().map(server -> member(node, server)).toList());
  }

  private DiscoveryMember member(NetworkPeer node, NetworkPeer server) {
    return new DiscoveryMember(
        server.name(),
        NodeConfigWriter.text(reached.get(node).get(server)),
        server.zone(),
        "std-4core",
        topology.zones().indexOf(server.zone()),
        phases.get(server),
        1,
        startedMs.get(server));
  }

  /** Starts these nodes' processes at once, again too, and returns when all listen. */
  public void start(List<NetworkPeer> nodes) throws IOException, InterruptedException {
    Map<NetworkPeer, BlockingQueue<String>> serving = new LinkedHashMap<>();
    for (NetworkPeer node : nodes) {
      serving.put(node, launch(node));
    }
    for (Map.Entry<NetworkPeer, BlockingQueue<String>> one : serving.entrySet()) {
      listens(one.getKey(), one.getValue().poll(START_S, TimeUnit.SECONDS));
    }
  }

  private BlockingQueue<String> launch(NetworkPeer node) throws IOException {
    Path own = Files.createDirectories(folder.resolve(node.name()));
    DiscoveryMessage known = list(node);
    history.told(System.nanoTime(), node, known);
    Path config = own.resolve("config.json");
    Link toCounter = way(node, topology.counter());
    InetSocketAddress counterAt =
        toCounter == null
            ? link(node, topology.counter(), counter.address())
            : toCounter.link.address();
    Files.writeString(
        config,
        NodeConfigWriter.text(
            topology,
            terms.load(),
            node,
            doors.getOrDefault(node, ANY),
            agents.get(node).address(),
            counterAt,
            known,
            chance.nextLong()));
    NodeProcess before = processes.get(node);
    if (before != null) {
      before.ended().join();
    }
    ending.remove(node);
    BlockingQueue<String> serving = new LinkedBlockingQueue<>();
    List<Line> log = logs.computeIfAbsent(node, any -> new CopyOnWriteArrayList<>());
    NodeProcess process =
        NodeProcess.start(
            deploy,
            Files.createDirectories(own.resolve("tmp")),
            Map.of("GW_CONFIG", config.toAbsolutePath().toString(), "GW_NAME", node.name()),
            guard,
            line -> {
              log.add(line);
              if (line.text().startsWith(SERVING)) {
                serving.add(line.text());
              }
            });
    processes.put(node, process);
    process
        .ended()
        .thenAccept(
            status -> {
              serving.add(NEVER);
              history.ended(System.nanoTime(), node, status, ending.contains(node));
            });
    return serving;
  }

  private void listens(NetworkPeer node, String line) throws IOException {
    if (line == null || line.equals(NEVER)) {
      throw new IOException(
          node.name() + " does not listen: " + log(node).stream().map(Line::text).toList());
    }
    if (!doors.containsKey(node)) {
      InetSocketAddress at =
          new InetSocketAddress(
              "127.0.0.1", Integer.parseInt(line.substring(line.lastIndexOf(':') + 1)));
      doors.put(node, at);
      link(topology.front(), node, at);
    } else {
      up(node, true);
    }
  }

  private Link way(NetworkPeer from, NetworkPeer to) {
    return ways.stream()
        .filter(way -> way.from.equals(from) && way.to.equals(to))
        .findFirst()
        .orElse(null);
  }

  /** Whether a node's health says yes to the front. */
  public boolean healthy(NetworkPeer node) throws IOException {
    InetSocketAddress at = door(node);
    HttpURLConnection call =
        (HttpURLConnection)
            URI.create("http://" + NodeConfigWriter.text(at) + "/_health").toURL().openConnection();
    call.setConnectTimeout(HEALTH_MS);
    call.setReadTimeout(HEALTH_MS);
    return call.getResponseCode() == HttpURLConnection.HTTP_OK;
  }

  private void up(NetworkPeer to, boolean runs) throws IOException {
    for (Link way : ways) {
      if (way.to.equals(to)) {
        way.link.up(runs);
      }
    }
  }

  /** Where clients reach a node. */
  public InetSocketAddress door(NetworkPeer node) {
    return way(topology.front(), node).link.address();
  }

  /** Sends a signal to a node's process; after a kill it is gone for whoever connects. */
  public void signal(NetworkPeer node, Signal what) throws IOException {
    if (what == Signal.KILL || what == Signal.TERM) {
      ending.add(node);
    }
    processes.get(node).signal(what);
    if (what == Signal.KILL) {
      processes.get(node).ended().join();
      up(node, false);
    }
  }

  /** Tells a node's process to end; whoever connects from now on is refused. */
  public void term(NetworkPeer node) throws IOException, InterruptedException {
    up(node, false);
    // A connection that a link has taken already still finds its node.
    TimeUnit.MILLISECONDS.sleep(CROSSING_MS);
    signal(node, Signal.TERM);
  }

  /** The answer to an operator's call at a node that runs. */
  public String call(NetworkPeer node, String line) throws IOException {
    String said =
        log(node).stream()
            .map(Line::text)
            .filter(text -> text.startsWith(OPERATORS))
            .reduce((first, last) -> last)
            .orElseThrow(() -> new IOException(node.name() + " does not say where operators call"));
    return OperatorClient.call(
        new InetSocketAddress(
            "127.0.0.1", Integer.parseInt(said.substring(said.lastIndexOf(':') + 1))),
        line);
  }

  /** Its process, for its end and its number. */
  public NodeProcess process(NetworkPeer node) {
    return processes.get(node);
  }

  /** A node's log up to now. */
  public List<Line> log(NetworkPeer node) {
    return List.copyOf(logs.getOrDefault(node, List.of()));
  }

  /** An archive server's process dies. */
  public void kill(NetworkPeer server) throws IOException {
    servers.get(server).close();
    up(server, false);
  }

  /** Carries out a fault on an archive server's core. */
  public void on(NetworkPeer server, Consumer<FakeArchiveServer<?>> what) {
    servers.get(server).on(what);
  }

  /** Discovery tells that it drains, after {@code delay} nanoseconds. */
  public void drain(NetworkPeer server, long delay) {
    phases.put(server, Phase.TERMINATING);
    tell(server, delay);
  }

  /** Whether discovery says nothing to a node. */
  public void silent(NetworkPeer node, boolean down) {
    agents.get(node).silent(down);
  }

  /** The counter, for its faults. */
  public CounterHttpFake counter() {
    return counter;
  }

  /**
   * It starts again at its address, cold, and discovery lists it after {@code delay} nanoseconds.
   */
  public void restart(NetworkPeer server, long delay) throws IOException {
    servers.put(
        server,
        new ArchiveServerHttpFake(
            loops.next(),
            servers.get(server).address(),
            terms.servers(),
            System.nanoTime(),
            terms.work(),
            history.of(server)));
    startedMs.put(server, System.currentTimeMillis());
    up(server, true);
    phases.put(server, Phase.READY);
    tell(server, delay);
  }

  /**
   * When an archive server was pushed over, in nanoseconds of the JVM's clock; {@link
   * Long#MAX_VALUE} if it was not.
   */
  public long fellAt(NetworkPeer server) {
    return servers.get(server).fellAt();
  }

  /**
   * The most of what it may be sent while cold that an archive server was sent in this life, as a
   * share.
   */
  public double pressure(NetworkPeer server) {
    return servers.get(server).pressure();
  }

  private void tell(NetworkPeer server, long delay) {
    revision++;
    agents.forEach(
        (node, agent) ->
            agent.send(
                new DiscoveryMessage(revision, false, List.of(member(node, server))), delay));
  }

  /** From now on the way between these is so, in the one direction or in both. */
  public void fault(
      String name, PeerSelector from, PeerSelector to, boolean both, LinkConditions conditions)
      throws IOException {
    faults.set(name, from, to, both, conditions);
    changed();
  }

  /** Ends a fault. */
  public void clear(String name) throws IOException {
    faults.clear(name);
    changed();
  }

  private void changed() throws IOException {
    try {
      ways.parallelStream()
          .forEach(
              way -> {
                try {
                  way.link.changed();
                } catch (IOException e) {
                  throw new UncheckedIOException(e);
                }
              });
    } catch (UncheckedIOException e) {
      throw e.getCause();
    }
  }

  @Override
  public void close() throws IOException {
    ending.addAll(processes.keySet());
    guard.close();
    for (Link way : ways) {
      way.link.close();
    }
    servers.values().forEach(ArchiveServerHttpFake::close);
    agents.values().forEach(DiscoveryHttpFake::close);
    counter.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }
}

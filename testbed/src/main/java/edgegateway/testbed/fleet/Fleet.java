package edgegateway.testbed.fleet;

import edgegateway.testbed.net.Conditions;
import edgegateway.testbed.net.Faults;
import edgegateway.testbed.net.Party;
import edgegateway.testbed.net.Selector;
import edgegateway.testbed.net.TcpLink;
import edgegateway.testbed.process.DeployFile;
import edgegateway.testbed.process.Guard;
import edgegateway.testbed.process.NodeProcess;
import edgegateway.testbed.process.NodeProcess.Line;
import edgegateway.testbed.process.NodeProcess.Signal;
import edgegateway.testbed.process.Operators;
import edgegateway.testbed.stand.ArchiveServer;
import edgegateway.testbed.stand.CounterTerms;
import edgegateway.testbed.stand.Member;
import edgegateway.testbed.stand.Member.Phase;
import edgegateway.testbed.stand.Roll;
import edgegateway.testbed.stand.ServerTerms;
import edgegateway.testbed.stand.http.ArchiveServerPort;
import edgegateway.testbed.stand.http.CounterPort;
import edgegateway.testbed.stand.http.DiscoveryPort;
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
    ArchiveServerPort.History of(Party server);

    /** A node is told this of the servers, by discovery or by its configuration at its start. */
    default void told(long at, Party node, Roll roll) {}

    /**
     * A node's process ended with a status; {@code asked} is whether it was killed or told to end.
     */
    default void ended(long at, Party node, int status, boolean asked) {}
  }

  /** What the stand-ins are made of. */
  public record Terms(
      ServerTerms servers, CounterTerms counter, Load load, ToDoubleFunction<String> work) {}

  private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
  private static final int LOOPS = 2;
  private static final String SERVING = "serving on ";
  private static final String OPERATORS = "operators call at ";
  private static final String NEVER = "";

  /** A node that does not listen by then never will. */
  private static final long START_S = 60;

  private static final int HEALTH_MS = 2_000;
  private static final long CROSSING_MS = 50;

  /** Both ends of a link, and the link. */
  private record Way(Party from, Party to, TcpLink link) {}

  private final Topology topology;
  private final DeployFile deploy;
  private final Path folder;
  private final Terms terms;
  private final History history;
  private final SplittableRandom chance;
  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(LOOPS, NioIoHandler.newFactory());
  private final Guard guard = new Guard();
  private final Faults faults = new Faults();
  private final List<Way> ways = new CopyOnWriteArrayList<>();
  private final CounterPort counter;
  private final Map<Party, ArchiveServerPort> servers = new LinkedHashMap<>();
  private final Map<Party, Long> startedMs = new HashMap<>();
  private final Map<Party, Phase> phases = new HashMap<>();
  private final Map<Party, Map<Party, InetSocketAddress>> reached = new HashMap<>();
  private final Map<Party, DiscoveryPort> agents = new HashMap<>();
  private final Map<Party, NodeProcess> processes = new HashMap<>();

  /** Nodes whose processes are to end. */
  private final Set<Party> ending = ConcurrentHashMap.newKeySet();

  private final Map<Party, InetSocketAddress> doors = new HashMap<>();
  private final Map<Party, List<Line>> logs = new ConcurrentHashMap<>();
  private long revision = 1;

  /** Starts the stand-ins, all warm, and their links; no edge node yet. */
  public Fleet(
      Topology topology, DeployFile deploy, Path folder, Terms terms, History history, long seed)
      throws IOException {
    this.topology = topology;
    this.deploy = deploy;
    this.folder = folder;
    this.terms = terms;
    this.history = history;
    chance = new SplittableRandom(seed);
    counter = new CounterPort(loops.next(), ANY, terms.counter());
    for (Party server : topology.servers()) {
      startedMs.put(server, 0L);
      phases.put(server, Phase.READY);
      servers.put(
          server,
          new ArchiveServerPort(
              loops.next(),
              ANY,
              terms.servers(),
              System.nanoTime() - terms.servers().ramp(),
              terms.work(),
              history.of(server)));
    }
    for (Party node : topology.nodes()) {
      Map<Party, InetSocketAddress> to = new LinkedHashMap<>();
      for (Party server : topology.servers()) {
        to.put(server, link(node, server, servers.get(server).address()));
      }
      reached.put(node, to);
      agents.put(
          node,
          new DiscoveryPort(
              loops.next(), ANY, list(node), (at, roll) -> history.told(at, node, roll)));
    }
  }

  private InetSocketAddress link(Party from, Party to, InetSocketAddress target)
      throws IOException {
    TcpLink link =
        new TcpLink(
            loops.next(),
            ANY,
            target,
            () -> faults.between(from, to),
            () -> faults.between(to, from),
            chance.split());
    ways.add(new Way(from, to, link));
    return link.address();
  }

  private Roll list(Party node) {
    return new Roll(
        revision, true, topology.servers().stream().map(server -> member(node, server)).toList());
  }

  private Member member(Party node, Party server) {
    return new Member(
        server.name(),
        NodeConfig.text(reached.get(node).get(server)),
        server.zone(),
        "std-4core",
        topology.zones().indexOf(server.zone()),
        phases.get(server),
        1,
        startedMs.get(server));
  }

  /** Starts these nodes' processes at once, again too, and returns when all listen. */
  public void start(List<Party> nodes) throws IOException, InterruptedException {
    Map<Party, BlockingQueue<String>> serving = new LinkedHashMap<>();
    for (Party node : nodes) {
      serving.put(node, launch(node));
    }
    for (Map.Entry<Party, BlockingQueue<String>> one : serving.entrySet()) {
      listens(one.getKey(), one.getValue().poll(START_S, TimeUnit.SECONDS));
    }
  }

  private BlockingQueue<String> launch(Party node) throws IOException {
    Path own = Files.createDirectories(folder.resolve(node.name()));
    Roll known = list(node);
    history.told(System.nanoTime(), node, known);
    Path config = own.resolve("config.json");
    Way toCounter = way(node, topology.counter());
    InetSocketAddress counterAt =
        toCounter == null
            ? link(node, topology.counter(), counter.address())
            : toCounter.link.address();
    Files.writeString(
        config,
        NodeConfig.text(
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

  private void listens(Party node, String line) throws IOException {
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

  private Way way(Party from, Party to) {
    return ways.stream()
        .filter(way -> way.from.equals(from) && way.to.equals(to))
        .findFirst()
        .orElse(null);
  }

  /** Whether a node's health says yes to the front. */
  public boolean healthy(Party node) throws IOException {
    InetSocketAddress at = door(node);
    HttpURLConnection call =
        (HttpURLConnection)
            URI.create("http://" + NodeConfig.text(at) + "/_health").toURL().openConnection();
    call.setConnectTimeout(HEALTH_MS);
    call.setReadTimeout(HEALTH_MS);
    return call.getResponseCode() == HttpURLConnection.HTTP_OK;
  }

  private void up(Party to, boolean runs) throws IOException {
    for (Way way : ways) {
      if (way.to.equals(to)) {
        way.link.up(runs);
      }
    }
  }

  /** Where clients reach a node. */
  public InetSocketAddress door(Party node) {
    return way(topology.front(), node).link.address();
  }

  /** Sends a signal to a node's process; after a kill it is gone for whoever connects. */
  public void signal(Party node, Signal what) throws IOException {
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
  public void term(Party node) throws IOException, InterruptedException {
    up(node, false);
    // A connection that a link has taken already still finds its node.
    TimeUnit.MILLISECONDS.sleep(CROSSING_MS);
    signal(node, Signal.TERM);
  }

  /** The answer to an operator's call at a node that runs. */
  public String call(Party node, String line) throws IOException {
    String said =
        log(node).stream()
            .map(Line::text)
            .filter(text -> text.startsWith(OPERATORS))
            .reduce((first, last) -> last)
            .orElseThrow(() -> new IOException(node.name() + " does not say where operators call"));
    return Operators.call(
        new InetSocketAddress(
            "127.0.0.1", Integer.parseInt(said.substring(said.lastIndexOf(':') + 1))),
        line);
  }

  /** Its process, for its end and its number. */
  public NodeProcess process(Party node) {
    return processes.get(node);
  }

  /** A node's log up to now. */
  public List<Line> log(Party node) {
    return List.copyOf(logs.getOrDefault(node, List.of()));
  }

  /** An archive server's process dies. */
  public void kill(Party server) throws IOException {
    servers.get(server).close();
    up(server, false);
  }

  /** Carries out a fault on an archive server's core. */
  public void on(Party server, Consumer<ArchiveServer<?>> what) {
    servers.get(server).on(what);
  }

  /** Discovery tells that it drains, after {@code delay} nanoseconds. */
  public void drain(Party server, long delay) {
    phases.put(server, Phase.TERMINATING);
    tell(server, delay);
  }

  /** Whether discovery says nothing to a node. */
  public void silent(Party node, boolean down) {
    agents.get(node).silent(down);
  }

  /** The counter, for its faults. */
  public CounterPort counter() {
    return counter;
  }

  /**
   * It starts again at its address, cold, and discovery lists it after {@code delay} nanoseconds.
   */
  public void restart(Party server, long delay) throws IOException {
    servers.put(
        server,
        new ArchiveServerPort(
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
  public long fellAt(Party server) {
    return servers.get(server).fellAt();
  }

  /**
   * The most of what it may be sent while cold that an archive server was sent in this life, as a
   * share.
   */
  public double pressure(Party server) {
    return servers.get(server).pressure();
  }

  private void tell(Party server, long delay) {
    revision++;
    agents.forEach(
        (node, agent) ->
            agent.send(new Roll(revision, false, List.of(member(node, server))), delay));
  }

  /** From now on the way between these is so, in the one direction or in both. */
  public void fault(String name, Selector from, Selector to, boolean both, Conditions conditions)
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
    for (Way way : ways) {
      way.link.close();
    }
    servers.values().forEach(ArchiveServerPort::close);
    agents.values().forEach(DiscoveryPort::close);
    counter.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }
}

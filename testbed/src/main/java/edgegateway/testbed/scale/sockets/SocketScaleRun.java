package edgegateway.testbed.scale.sockets;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import edgegateway.testbed.fakes.DiscoveryMessage;
import edgegateway.testbed.fleet.NodeConfigWriter;
import edgegateway.testbed.fleet.Topology;
import edgegateway.testbed.fleet.WorkloadSettings;
import edgegateway.testbed.processes.DeployFile;
import edgegateway.testbed.scale.MeasuredPoint;
import edgegateway.testbed.scale.ScaleFile;
import edgegateway.testbed.scale.ScaleFile.SocketsSize;
import edgegateway.testbed.scenario.Scenario;
import edgegateway.testbed.workload.ClientRetryPolicy;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * Plays a size over loopback: real edge nodes as processes, hollow ones in one process, and
 * stand-ins in this one. First a calm span is measured, with or without requests; then the list
 * changes, by one entry, by a rollout of a service, by a zone, and all of it at once, while
 * requests go on; at last processor time is measured without them. Each wait has an end, so the
 * play has one too.
 */
public final class SocketScaleRun {
  private static final double SECOND = 1e9;
  private static final double MS = 1e6;
  private static final double DIRECT_PER_S = 70;
  private static final int LOOPS = 4;

  /** The longest waits, in seconds: for processes, and for each hollow node more. */
  private static final long START_S = 60;

  private static final long HOLLOW_START_S = 1;

  /**
   * How long requests go on after the calm span, for the changes: so long, or half of the span if
   * that is less.
   */
  private static final double CHANGES_S = 6;

  /**
   * For how long processor time without requests is measured at the end, or half of the span if
   * that is less; and the rest before.
   */
  private static final double ALONE_S = 10;

  private static final double REST_S = 1;

  private static final ObjectMapper JSON = new ObjectMapper();

  private final ScaleFile file;
  private final SocketsSize size;
  private final Topology topology;
  private final Consumer<String> progress;
  private final RevisionTracker listings = new RevisionTracker();
  private final Map<String, Double> figures = new TreeMap<>();
  private final RequestBatch real;
  private final RequestBatch hollow;
  private final RequestBatch direct;
  private FakePlatform standIns;
  private TestNodes nodes;

  private SocketScaleRun(ScaleFile file, SocketsSize size, long seed, Consumer<String> progress) {
    this.file = file;
    this.size = size;
    this.progress = progress;
    List<String> zones = file.regions().values().stream().flatMap(List::stream).sorted().toList();
    topology = Topology.even(zones, size.real() + size.hollow(), size.servers(), file.regions());
    double span = file.sockets().spanS() + Math.min(CHANGES_S, file.sockets().spanS() / 2);
    Scenario.Traffic load = load();
    real = new RequestBatch("r", load, size.real(), size.realRequestsPerS(), span, seed);
    hollow = new RequestBatch("h", load, size.hollow(), size.hollowRequestsPerS(), span, seed);
    direct =
        new RequestBatch(
            "d",
            load,
            1,
            size.realRequestsPerS() + size.hollowRequestsPerS() > 0 ? DIRECT_PER_S : 0,
            span,
            seed);
  }

  /**
   * What is asked, with less work in a request where the whole fleet that is told would keep
   * servers busier than the file says.
   */
  private Scenario.Traffic load() {
    Scenario.Traffic all = file.load();
    double shares = all.classes().stream().mapToDouble(Scenario.Kind::share).sum();
    double workS =
        all.classes().stream().mapToDouble(kind -> kind.share() * kind.workMs()).sum()
            / shares
            * MS
            / SECOND;
    double perNode = Math.max(size.realRequestsPerS(), size.hollowRequestsPerS());
    double nodes = Math.max(size.fleet(), topology.nodes().size());
    double most =
        perNode == 0
            ? workS
            : file.busy() * file.servers().cores() * size.servers() / (nodes * perNode);
    double part = Math.min(1, most / workS);
    return new Scenario.Traffic(
        all.shiftS(),
        all.skew(),
        all.noticeS(),
        all.classes().stream()
            .map(
                kind ->
                    new Scenario.Kind(
                        kind.name(),
                        kind.share(),
                        kind.keyed(),
                        kind.aimS(),
                        kind.deadlineS(),
                        kind.workMs() * part,
                        kind.worth()))
            .toList(),
        all.plans(),
        all.retries());
  }

  /** One play of this checkout's program; {@code progress} hears how far it is. */
  public static MeasuredPoint play(
      ScaleFile file, SocketsSize size, long seed, Consumer<String> progress)
      throws IOException, InterruptedException {
    Path folder = Files.createDirectories(Path.of("target", "scale", file.name() + "-sockets"));
    return play(
        file,
        size,
        seed,
        progress,
        DeployFile.read(Path.of(".").toRealPath()),
        folder.toRealPath());
  }

  /**
   * One play.
   *
   * @param folder where configurations and logs go
   * @throws IOException in one line, if the size does not fit this machine, or something does not
   *     come up in its time
   */
  static MeasuredPoint play(
      ScaleFile file,
      SocketsSize size,
      long seed,
      Consumer<String> progress,
      DeployFile deploy,
      Path folder)
      throws IOException, InterruptedException {
    try {
      MachineCapacity.here().check(size);
    } catch (IllegalArgumentException e) {
      throw new IOException(size + " does not fit: " + e.getMessage(), e);
    }
    SocketScaleRun play = new SocketScaleRun(file, size, seed, progress);
    play.run(seed, deploy, folder);
    return new MeasuredPoint(
        MeasuredPoint.Side.SOCKETS, seed, size.key(), new TreeMap<>(play.figures));
  }

  private void run(long seed, DeployFile deploy, Path folder)
      throws IOException, InterruptedException {
    Map<String, Double> works = new HashMap<>();
    Stream.of(real, hollow, direct)
        .forEach(all -> all.arrivals().forEach(one -> works.put(one.id(), (double) one.work())));
    WorkloadSettings load =
        new WorkloadSettings(
            file.load().classes().stream().map(Scenario.Kind::requestClass).toList(),
            file.load().plans().stream().map(Scenario.Customers::plan).toList(),
            file.servers().terms().keyLifetimeNanos(),
            null);
    long callTimeout =
        NodeConfigWriter.settings(topology, load, topology.nodes().get(0))
            .path("domain")
            .path("count-wait-ns")
            .asLong();
    try (FakePlatform stand =
        new FakePlatform(
            topology,
            file.servers(),
            file.counter(),
            callTimeout,
            id -> works.getOrDefault(ClientRetryPolicy.requestId(id), 1.0))) {
      standIns = stand;
      List<String> configurations = configurations(load, seed);
      long begun = System.nanoTime();
      try (HollowNodeProcess all =
              size.hollow() == 0
                  ? null
                  : new HollowNodeProcess(
                      configurations.subList(size.real(), configurations.size()),
                      LOOPS,
                      MachineCapacity.hollowHeapMb(size),
                      folder,
                      listings::listed);
          RealNodeProcesses processes =
              new RealNodeProcesses(
                  deploy, configurations.subList(0, size.real()), folder, START_S)) {
        nodes = new TestNodes(size, stand, processes, all, listings);
        if (all != null) {
          all.ready(START_S + HOLLOW_START_S * size.hollow());
        }
        progress.accept(
            String.format(
                Locale.ROOT,
                "%d real and %d hollow nodes serve after %.1f s",
                size.real(),
                size.hollow(),
                (System.nanoTime() - begun) / SECOND));
        measure();
      }
    }
  }

  private List<String> configurations(WorkloadSettings load, long seed) throws IOException {
    SplittableRandom chance = new SplittableRandom(seed);
    InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
    List<String> all = new ArrayList<>();
    for (int i = 0; i < topology.nodes().size(); i++) {
      // None knows a list: the first one comes by discovery.
      ObjectNode one =
          (ObjectNode)
              JSON.readTree(
                  NodeConfigWriter.text(
                      topology,
                      load,
                      topology.nodes().get(i),
                      any,
                      standIns.discovery(),
                      standIns.counter(),
                      new DiscoveryMessage(0, true, List.of()),
                      chance.nextLong()));
      ObjectNode settings = (ObjectNode) one.path("settings");
      settings.put("siblings", Math.max(size.fleet(), topology.nodes().size()));
      ((ObjectNode) settings.path("caps")).put("keepalive-ns", (long) (file.idleS() * SECOND));
      all.add(JSON.writeValueAsString(one));
    }
    return all;
  }

  private void measure() throws IOException, InterruptedException {
    long begun = System.nanoTime();
    real.play(standIns.clients(), door -> nodes.reals().address(door));
    hollow.play(standIns.clients(), door -> nodes.hollows().address(door));
    int[] next = new int[1];
    direct.play(standIns.clients(), door -> standIns.unlisted(next[0]++));
    long from = begun + (long) (file.sockets().fromS() * SECOND);
    long to = begun + (long) (file.sockets().spanS() * SECOND);
    sleepUntil(from);
    MetricsSnapshot first = nodes.now();
    if (size.trouble() != null) {
      sleepUntil((from + to) / 2);
      standIns.trouble(size.trouble(), true);
    }
    sleepUntil(to);
    MetricsSnapshot last = nodes.now();
    if (size.trouble() != null) {
      standIns.trouble(size.trouble(), false);
    }
    new SteadyStateMetrics(size, figures).calm(first, last);
    progress.accept("calm is measured; the list changes");
    new EndpointListChanges(nodes, topology.zones().size(), figures).play();
    real.await();
    hollow.await();
    direct.await();
    latencies(first.at(), last.at());
    alone();
  }

  /**
   * Processor time once requests are over: that of control but for calls to the counter, which
   * follow from requests.
   */
  private void alone() throws IOException, InterruptedException {
    sleepUntil(System.nanoTime() + (long) (REST_S * SECOND));
    MetricsSnapshot first = nodes.now();
    sleepUntil(first.at() + (long) (Math.min(ALONE_S, file.sockets().spanS() / 2) * SECOND));
    MetricsSnapshot last = nodes.now();
    if (size.real() > 0) {
      double share = last.realCpuS(first) / size.real() / ((last.at() - first.at()) / SECOND);
      figures.put("real-cpu-without-requests-core-share", share);
      figures.put(
          "real-cpu-by-requests-core-share",
          Math.max(0, figures.get("real-cpu-core-share") - share));
    }
  }

  private static void sleepUntil(long at) throws InterruptedException {
    TimeUnit.NANOSECONDS.sleep(Math.max(0, at - System.nanoTime()));
  }

  private void latencies(long from, long to) {
    RequestBatch.Outcome by = direct.outcome(standIns, from, to);
    for (Map.Entry<String, RequestBatch> one : Map.of("real", real, "hollow", hollow).entrySet()) {
      RequestBatch.Outcome outcome = one.getValue().outcome(standIns, from, to);
      if (outcome.asked() > 0) {
        figures.put(one.getKey() + "-served-share", (double) outcome.served() / outcome.asked());
        figures.put(
            one.getKey() + "-refused-or-failed-share",
            (double) outcome.refused() / outcome.asked());
        for (double percentile : List.of(50.0, 99.0)) {
          figures.put(
              String.format(Locale.ROOT, "%s-added-p%.0f-ms", one.getKey(), percentile),
              (outcome.beyond().getValueAtPercentile(percentile)
                      - by.beyond().getValueAtPercentile(percentile))
                  / MS);
        }
      }
    }
    if (by.asked() > 0) {
      figures.put("direct-p50-ms", by.beyond().getValueAtPercentile(50) / MS);
      figures.put("direct-p99-ms", by.beyond().getValueAtPercentile(99) / MS);
    }
  }
}

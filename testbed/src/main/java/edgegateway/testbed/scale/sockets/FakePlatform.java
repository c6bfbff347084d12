package edgegateway.testbed.scale.sockets;

import edgegateway.testbed.fakes.DiscoveryMember;
import edgegateway.testbed.fakes.DiscoveryMember.Phase;
import edgegateway.testbed.fakes.DiscoveryMessage;
import edgegateway.testbed.fakes.FakeArchiveServer;
import edgegateway.testbed.fakes.http.ArchiveServerHttpFake;
import edgegateway.testbed.fakes.http.CounterHttpFake;
import edgegateway.testbed.fakes.http.DiscoveryHttpFake;
import edgegateway.testbed.fakes.http.ManyArchiveServersHttpFake;
import edgegateway.testbed.fleet.Topology;
import edgegateway.testbed.network.NetworkPeer;
import edgegateway.testbed.scale.ScaleFile.ControlTrouble;
import edgegateway.testbed.scenario.CounterFaults;
import edgegateway.testbed.scenario.Scenario;
import edgegateway.testbed.scenario.Scenario.CounterTrouble;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.ToDoubleFunction;

/**
 * What edge nodes speak with, without links: one discovery, one counter, and archive servers at
 * thousands of addresses behind one socket, each on a loop of its own. It is changed by one thread.
 */
final class FakePlatform
    implements ArchiveServerHttpFake.History, CounterHttpFake.History, AutoCloseable {
  private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
  private static final int LOOPS = 4;
  private static final int HOSTS = 250;
  private static final String FLAVOR = "std-4core";
  private static final double SLOW = 100;

  /**
   * When a request last arrived at an archive server, and when that answered it; 0 if it has not.
   */
  record Work(long arrived, long ended) {}

  /** What there was up to a moment. */
  record Counts(
      long discoveryIn,
      long discoveryOut,
      long counterIn,
      long counterOut,
      long calls,
      long answered,
      long late,
      long turnedAway,
      long cut,
      long serversIn,
      long serversOut,
      long opened,
      long open,
      long attempts) {}

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(LOOPS, NioIoHandler.newFactory());
  private final EventLoop clientsLoop = loops.next();
  private final Topology topology;
  private final long callTimeout;
  private final CounterHttpFake counter;
  private final ManyArchiveServersHttpFake servers;
  private final DiscoveryMember[] members;
  private final Map<String, Work> works = new ConcurrentHashMap<>();
  private final AtomicLong answered = new AtomicLong();
  private final AtomicLong late = new AtomicLong();
  private final AtomicLong turnedAway = new AtomicLong();
  private final AtomicLong attempts = new AtomicLong();
  private final DiscoveryHttpFake discovery;
  private long revision = 1;

  /**
   * All listen when it returns.
   *
   * @param callTimeout after which a call to the counter counts as late, in nanoseconds
   * @param work nanoseconds of a core for the request of an id
   */
  FakePlatform(
      Topology topology,
      Scenario.Servers terms,
      Scenario.Counter calls,
      long callTimeout,
      ToDoubleFunction<String> work)
      throws IOException {
    this.topology = topology;
    this.callTimeout = callTimeout;
    counter = new CounterHttpFake(loops.next(), ANY, calls.terms(), this);
    servers = new ManyArchiveServersHttpFake(loops.next(), terms.terms(), work, this);
    members = new DiscoveryMember[topology.servers().size()];
    for (int i = 0; i < members.length; i++) {
      members[i] = member(i, Phase.READY, 0);
    }
    discovery =
        new DiscoveryHttpFake(
            loops.next(),
            ANY,
            new DiscoveryMessage(revision, true, List.of(members)),
            (at, roll) -> {});
  }

  /** The loop of the clients. */
  EventLoop clients() {
    return clientsLoop;
  }

  InetSocketAddress discovery() {
    return discovery.address();
  }

  InetSocketAddress counter() {
    return counter.address();
  }

  /** Where an archive server that is on nobody's list listens, by its number. */
  InetSocketAddress unlisted(int number) {
    return new InetSocketAddress("127.254.0." + (1 + number % HOSTS), servers.address().getPort());
  }

  private DiscoveryMember member(int number, Phase phase, long upSince) {
    NetworkPeer server = topology.servers().get(number);
    // Each place from 1 to 250: no address of a net or to all of it.
    String address =
        "127."
            + (1 + number / (HOSTS * HOSTS))
            + "."
            + (1 + number / HOSTS % HOSTS)
            + "."
            + (1 + number % HOSTS);
    return new DiscoveryMember(
        server.name(),
        address + ":" + servers.address().getPort(),
        server.zone(),
        FLAVOR,
        topology.zones().indexOf(server.zone()),
        phase,
        1,
        upSince);
  }

  /** Discovery tells that these are in this phase now, in one message; returns its version. */
  long change(List<Integer> numbers, Phase phase, long upSince) {
    discovery.send(new DiscoveryMessage(++revision, false, set(numbers, phase, upSince)), 0);
    return revision;
  }

  private List<DiscoveryMember> set(List<Integer> numbers, Phase phase, long upSince) {
    List<DiscoveryMember> changed = new ArrayList<>();
    for (int number : numbers) {
      members[number] = member(number, phase, upSince);
      changed.add(members[number]);
    }
    return changed;
  }

  /**
   * Discovery begins anew at its address, with these in this phase and no changes kept: everybody
   * takes the whole list. Returns its version.
   */
  long restartDiscovery(List<Integer> numbers, Phase phase) {
    set(numbers, phase, 0);
    discovery.restart(new DiscoveryMessage(++revision, true, List.of(members)));
    return revision;
  }

  /** Begins or mends a trouble. */
  void trouble(ControlTrouble what, boolean on) {
    switch (what) {
      case COUNTER_STOPS -> {
        if (on) {
          counter.on(core -> CounterFaults.begin(CounterTrouble.GONE, core, System.nanoTime()));
        } else {
          counter.on(core -> CounterFaults.end(CounterTrouble.GONE, core, System.nanoTime()));
        }
      }
      case COUNTER_SLOW -> counter.on(core -> core.slow(System.nanoTime(), on ? SLOW : 1));
      case COUNTER_CUTS -> counter.traffic().cutting(on);
      case DISCOVERY_STOPS -> discovery.silent(on);
      case DISCOVERY_CUTS -> discovery.traffic().cutting(on);
    }
  }

  /** What there was up to now. */
  Counts counts() {
    return new Counts(
        discovery.traffic().in(),
        discovery.traffic().out(),
        counter.traffic().in(),
        counter.traffic().out(),
        counter.calls(),
        answered.get(),
        late.get(),
        turnedAway.get(),
        discovery.traffic().cut() + counter.traffic().cut(),
        servers.traffic().in(),
        servers.traffic().out(),
        servers.traffic().opened(),
        servers.traffic().open(),
        attempts.get());
  }

  /**
   * What became of a request at the last archive server that it reached; null if it reached none.
   */
  Work work(String id) {
    return works.get(id);
  }

  @Override
  public void arrived(long at, String id, String key) {
    attempts.incrementAndGet();
    works.put(id, new Work(at, 0));
  }

  @Override
  public void ended(long at, String id, FakeArchiveServer.Completion how) {
    works.computeIfPresent(id, (key, work) -> new Work(work.arrived, at));
  }

  @Override
  public void answered(long took, boolean added) {
    (added ? answered : turnedAway).incrementAndGet();
    late.addAndGet(took > callTimeout ? 1 : 0);
  }

  @Override
  public void close() {
    discovery.close();
    counter.close();
    servers.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }
}

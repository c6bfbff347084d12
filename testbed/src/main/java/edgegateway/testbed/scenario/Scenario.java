package edgegateway.testbed.scenario;

import com.fasterxml.jackson.annotation.JsonProperty;
import edgegateway.node.zones.ZoneEjectionSettings;
import edgegateway.testbed.checker.InvariantSettings;
import edgegateway.testbed.fakes.FakeArchiveServerSettings;
import edgegateway.testbed.fakes.FakeCounterSettings;
import edgegateway.testbed.fleet.Topology;
import edgegateway.testbed.fleet.WorkloadSettings;
import edgegateway.testbed.network.LinkConditions;
import edgegateway.testbed.network.NetworkPeer;
import edgegateway.testbed.network.PeerSelector;
import edgegateway.testbed.workload.ArrivalGenerator;
import edgegateway.testbed.workload.ClientBehavior;
import edgegateway.testbed.workload.ClientRetryPolicy;
import edgegateway.testbed.workload.CustomerPlan;
import edgegateway.testbed.workload.RequestArrival;
import edgegateway.testbed.workload.WorkloadClass;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * A scenario file, in YAML: who there is, what is asked, what goes wrong when, and what must hold.
 * Spans ending in {@code S} are seconds, in {@code Ms} milliseconds.
 *
 * @param seed all that is drawn comes from it
 * @param spanS for how long requests arrive
 * @param zones who judges zones; left out, operators alone
 * @param least the least share of the worth asked for that must be answered within its aim, 0 to 1
 */
public record Scenario(
    String name,
    long seed,
    double spanS,
    Fleet topology,
    Servers servers,
    Counter counter,
    Traffic load,
    Zones zones,
    List<Fault> faults,
    double least) {
  private static final double SECOND = 1e9;
  private static final double MS = 1e6;

  /**
   * Protocol, The rules on sockets: each limit is 50 ms longer; the answer's slack and the stop's
   * span are the settings'.
   */
  private static final long ANSWER_SLACK = 58_000_000L;

  private static final long STOP_WITHIN = 1_050_000_000L;
  private static final long CEILING_SLACK = 150_000_000L;

  /** What the model bears. */
  private static final int MOST_NODES = 1_000;

  private static final int MOST_SERVERS = 10_000;

  private static final double MOST_SPAN_S = 3_600;

  /** A file that can't be played; the message is one line that names the place. */
  public static final class InvalidScenarioException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidScenarioException(String message) {
      super(message);
    }
  }

  /**
   * How many there are, spread evenly over zones.
   *
   * @param regions the zones of each region, by its name; null if all lie in one
   */
  public record Fleet(
      List<String> zones, int nodes, int servers, Map<String, List<String>> regions) {
    /** Checks its ranges; the message names the figure. */
    public Fleet {
      check(!zones.isEmpty(), "zones is empty");
      check(
          regions == null
              || regions.values().stream()
                  .flatMap(List::stream)
                  .sorted()
                  .toList()
                  .equals(zones.stream().sorted().toList()),
          "regions does not hold each of zones once");
      check(nodes >= 1 && nodes <= MOST_NODES, "nodes is not 1 to " + MOST_NODES);
      check(servers >= 1 && servers <= MOST_SERVERS, "servers is not 1 to " + MOST_SERVERS);
    }

    /** Who there is. */
    public Topology topology() {
      return regions == null
          ? Topology.even(zones, nodes, servers)
          : Topology.even(zones, nodes, servers, regions);
    }
  }

  /** What archive servers are made of. */
  public record Servers(
      double cores,
      int slots,
      int room,
      double coldFrom,
      double rampS,
      double overload,
      double tipAfterS,
      double keyLifeS) {
    /** Checks its ranges; the message names the figure. */
    public Servers {
      terms(cores, slots, room, coldFrom, rampS, overload, tipAfterS, keyLifeS);
    }

    /** The same for a stand-in. */
    public FakeArchiveServerSettings terms() {
      return terms(cores, slots, room, coldFrom, rampS, overload, tipAfterS, keyLifeS);
    }

    private static FakeArchiveServerSettings terms(
        double cores,
        int slots,
        int room,
        double coldFrom,
        double rampS,
        double overload,
        double tipAfterS,
        double keyLifeS) {
      return new FakeArchiveServerSettings(
          cores,
          slots,
          room,
          coldFrom,
          (long) (rampS * SECOND),
          overload,
          (long) (tipAfterS * SECOND),
          (long) (keyLifeS * SECOND));
    }
  }

  /** What the counter is made of. */
  public record Counter(int parts, double perCallMs, int line) {
    /** Checks its ranges; the message names the figure. */
    public Counter {
      new FakeCounterSettings(parts, (long) (perCallMs * MS), line);
    }

    /** The same for a stand-in. */
    public FakeCounterSettings terms() {
      return new FakeCounterSettings(parts, (long) (perCallMs * MS), line);
    }
  }

  /** How edge nodes judge zones. */
  public record Zones(ZoneEjectionSettings.DecisionMode verdicts) {
    /** The same for a node. */
    public ZoneEjectionSettings settings() {
      return new ZoneEjectionSettings(
          verdicts,
          ZoneEjectionSettings.DEFAULT_MAX_EJECTED_FRACTION,
          ZoneEjectionSettings.DEFAULT_LOCAL_DECISION_AFTER_NANOS);
    }
  }

  /** What is asked. */
  public record Traffic(
      double shiftS,
      double skew,
      double noticeS,
      List<Kind> classes,
      List<Customers> plans,
      Again retries) {
    /** Checks its ranges; the message names the figure. */
    public Traffic {
      check(shiftS > 0, "shift-s is not above 0");
      check(skew >= 0, "skew is below 0");
      check(noticeS >= 0, "notice-s is below 0");
      check(!classes.isEmpty(), "classes is empty");
      check(!plans.isEmpty(), "plans is empty");
    }
  }

  /** How clients ask again; left out, they don't. */
  public record Again(int most, double afterS, boolean heed) {
    /** Checks its ranges; the message names the figure. */
    public Again {
      new ClientRetryPolicy(most, (long) (afterS * SECOND), heed);
    }
  }

  /** A class of requests. */
  public record Kind(
      String name,
      double share,
      boolean keyed,
      double aimS,
      double deadlineS,
      double workMs,
      double worth) {
    /** Checks its ranges; the message names the figure. */
    public Kind {
      new WorkloadClass(
          name,
          share,
          keyed,
          (long) (aimS * SECOND),
          (long) (deadlineS * SECOND),
          workMs * MS,
          worth);
    }

    /** The same for whoever sends. */
    public WorkloadClass requestClass() {
      return new WorkloadClass(
          name,
          share,
          keyed,
          (long) (aimS * SECOND),
          (long) (deadlineS * SECOND),
          workMs * MS,
          worth);
    }
  }

  /** A plan and its customers. */
  public record Customers(
      String name,
      int customers,
      double rate,
      double burst,
      double price,
      double ceiling,
      double use,
      int spread) {
    /** Checks its ranges; the message names the figure. */
    public Customers {
      new CustomerPlan(name, customers, rate, burst, price, ceiling, use, spread);
    }

    /** The same for whoever sends. */
    public CustomerPlan plan() {
      return new CustomerPlan(name, customers, rate, burst, price, ceiling, use, spread);
    }
  }

  /** What happens to processes. */
  public enum Trouble {
    /** Edge nodes and archive servers die; they start again, servers cold. */
    KILL,
    /** Edge nodes are told to end, by SIGTERM, and start again. */
    TERM,
    /** Edge nodes stand still, by SIGSTOP, and go on. */
    STOP,
    /** Archive servers drain, as discovery tells; they start again, cold. */
    DRAIN,
    /** Discovery says nothing to edge nodes. */
    SILENT,
    /** Operators leave a zone out on every edge node that runs, and have it back. */
    @JsonProperty("zone-out")
    ZONE_OUT,
    /** Archive servers need five times as long. */
    SLOW,
    /** One in five of what archive servers work on ends in an error. */
    FAILING
  }

  /** What happens to the counter. */
  public enum CounterTrouble {
    /** It is gone with all that it held, and comes back elsewhere, empty. */
    GONE,
    /** It forgets all that it held, at the beginning and at the end. */
    FLUSHED,
    /** Each call takes ten times as long. */
    SLOW
  }

  /**
   * Something that goes wrong at {@code atS} and is mended at {@code untilS}. One of three: the
   * ways from these to those, both ways or one, are cut, lossy or slow; something happens to
   * processes; something happens to the counter.
   *
   * @param what what happens to processes
   * @param whom to whose
   * @param counter what happens to the counter
   */
  public record Fault(
      double atS,
      double untilS,
      String from,
      String to,
      Boolean both,
      Boolean cut,
      Double loss,
      Double delayMs,
      Trouble what,
      String whom,
      CounterTrouble counter) {
    /** Checks its ranges; the message names the figure. */
    public Fault {
      check(atS >= 0 && untilS > atS, "at-s is below 0, or until-s is not after it");
      check(
          Stream.of(from, what, counter).filter(Objects::nonNull).count() == 1
              && (from == null) == (to == null)
              && (what == null) == (whom == null),
          "either from and to, or what and whom, or counter is wanted");
      check(
          from != null || both == null && cut == null && loss == null && delayMs == null,
          "both, cut, loss and delay-ms are about from and to");
      Stream.of(from, to, whom).filter(Objects::nonNull).forEach(PeerSelector::parse);
      check(
          what != Trouble.ZONE_OUT
              || PeerSelector.parse(whom).kind() == PeerSelector.Kind.ZONE
                  && !PeerSelector.parse(whom).others(),
          "zone-out is about a zone");
      conditions(cut, loss, delayMs);
    }

    /** What it makes of a link; good where it is not about links. */
    public LinkConditions conditions() {
      return conditions(cut, loss, delayMs);
    }

    private static LinkConditions conditions(Boolean cut, Double loss, Double delayMs) {
      return new LinkConditions(
          Boolean.TRUE.equals(cut),
          loss == null ? 0 : loss,
          0,
          delayMs == null ? 0 : (long) (delayMs * MS),
          0,
          0);
    }
  }

  /** Checks its ranges; the message names the figure. */
  public Scenario {
    check(spanS > 0 && spanS <= MOST_SPAN_S, "span-s is not above 0 and up to " + MOST_SPAN_S);
    check(least >= 0 && least <= 1, "least is not 0 to 1");
    faults = faults == null ? List.of() : faults;
    Topology of = topology.topology();
    for (Fault fault : faults) {
      Stream.of(fault.from(), fault.to(), fault.whom())
          .filter(Objects::nonNull)
          .forEach(text -> known(of, text));
    }
  }

  /** A fault about nobody is a slip of the pen, not a calm day. */
  private static void known(Topology of, String text) {
    PeerSelector selector = PeerSelector.parse(text);
    Stream<NetworkPeer> all =
        Stream.of(
                of.nodes().stream(),
                of.servers().stream(),
                Stream.of(of.front(), of.counter(), of.discovery()))
            .flatMap(one -> one);
    PeerSelector named = new PeerSelector(selector.kind(), selector.name(), false, selector.role());
    check(all.anyMatch(named::matches), "'" + text + "' names nobody");
  }

  private static void check(boolean holds, String message) {
    if (!holds) {
      throw new IllegalArgumentException(message);
    }
  }

  /** Reads and checks a whole file. */
  public static Scenario read(Path file) throws InvalidScenarioException {
    return YamlFile.read(file, Scenario.class);
  }

  static Scenario parse(String text) throws InvalidScenarioException {
    return YamlFile.parse(text, Scenario.class);
  }

  /** The classes, in their order. */
  public List<WorkloadClass> classes() {
    return load.classes().stream().map(Kind::requestClass).toList();
  }

  /** The plans, in their order. */
  public List<CustomerPlan> plans() {
    return load.plans().stream().map(Customers::plan).toList();
  }

  /** What edge nodes are told of what will be asked. */
  public WorkloadSettings told() {
    return new WorkloadSettings(
        classes(),
        plans(),
        servers.terms().keyLifetimeNanos(),
        zones == null ? null : zones.settings());
  }

  /** How clients ask. */
  public ClientBehavior asking() {
    Again again = load.retries();
    ClientRetryPolicy retries =
        again == null
            ? ClientRetryPolicy.NONE
            : new ClientRetryPolicy(again.most(), (long) (again.afterS() * SECOND), again.heed());
    return new ClientBehavior(
        topology.topology().nodes().stream().map(NetworkPeer::name).toList(),
        classes(),
        plans(),
        retries,
        (long) (load.noticeS() * SECOND));
  }

  /** All requests, as its seed draws them. */
  public List<RequestArrival> arrivals() {
    return ArrivalGenerator.draw(
        new ArrivalGenerator.Settings(
            (long) (spanS * SECOND),
            topology.nodes(),
            classes(),
            plans(),
            (long) (load.shiftS() * SECOND),
            load.skew()),
        seed);
  }

  /** The figures of the rules. */
  public InvariantSettings rules() {
    WorkloadSettings told = told();
    return new InvariantSettings(
        ANSWER_SLACK,
        STOP_WITHIN,
        servers.terms().overloadWindowNanos(),
        told.classes().stream()
            .map(
                kind ->
                    new InvariantSettings.RetryRule(
                        kind.hasIdempotencyKey()
                            ? InvariantSettings.RetryRule.Kind.KEYED
                            : InvariantSettings.RetryRule.Kind.SAFE,
                        told.keyLife()))
            .toList(),
        told.plans().stream()
            .map(
                plan ->
                    new InvariantSettings.Ceiling(
                        plan.ceiling() * plan.rate(),
                        plan.ceiling() * plan.burst(),
                        told.slack(plan) + plan.ceiling() * plan.rate() * CEILING_SLACK / SECOND))
            .toList());
  }

  /** The same with another seed. */
  public Scenario withSeed(long other) {
    return new Scenario(name, other, spanS, topology, servers, counter, load, zones, faults, least);
  }

  /** The same with another counter. */
  public Scenario withCounter(Counter other) {
    return new Scenario(name, seed, spanS, topology, servers, other, load, zones, faults, least);
  }
}

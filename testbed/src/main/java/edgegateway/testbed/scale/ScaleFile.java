package edgegateway.testbed.scale;

import com.fasterxml.jackson.annotation.JsonProperty;
import edgegateway.testbed.scenario.Scenario;
import edgegateway.testbed.scenario.YamlFile;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * The file of {@code lab scale}, in YAML: what fleets are made of, and the sizes at which they are
 * played. Spans ending in {@code S} are seconds.
 *
 * @param seed the first seed; further plays of a size take the next ones
 * @param regions the zones of each region, by its name
 * @param servers what archive servers are made of
 * @param load classes and plans; a plan's {@code customers} is its part of a size's tenants, and
 *     its {@code use} and a class's {@code work-ms} tell how these stand to each other: a size
 *     makes them fit its requests and {@code busy}
 * @param busy the part of the archive servers' capacity that requests need at each size, above 0,
 *     below 1
 * @param idleS after how long archive servers close an idle connection; edge nodes end it a while
 *     before
 * @param model the sizes on virtual time; null for none
 * @param sockets the sizes over loopback; null for none
 */
public record ScaleFile(
    String name,
    long seed,
    Map<String, List<String>> regions,
    Scenario.Servers servers,
    Scenario.Counter counter,
    Scenario.Traffic load,
    double busy,
    double idleS,
    ModelSizes model,
    SocketsSizes sockets) {
  private static final double MOST_SPAN_S = 600;
  private static final double MS = 1e3;
  private static final double MOST_TIMES = 2;
  private static final double EVENT_PART = 4;

  /**
   * Sizes on virtual time.
   *
   * @param fromS from when on figures count: by then connections and the budget of calls have come
   *     to rest
   * @param spanS for how long requests arrive
   */
  public record ModelSizes(double fromS, double spanS, List<ModelSize> sizes) {
    /** Checks its ranges; the message names the figure. */
    public ModelSizes {
      spans(fromS, spanS);
      check(!sizes.isEmpty(), "sizes is empty");
    }
  }

  /** What may happen to a fleet on virtual time; all is mended before the end. */
  public enum ModelEvent {
    /** The archive servers of one service drain one after the other, and start again, cold. */
    ROLLOUT,
    /** All of a zone dies, for a while. */
    @JsonProperty("zone-lost")
    ZONE_LOST,
    /** Everything dies at once and starts again, servers cold. */
    @JsonProperty("cold-start")
    COLD_START,
    /** The counter is gone, for a while. */
    @JsonProperty("counter-gone")
    COUNTER_GONE
  }

  /**
   * A size on virtual time.
   *
   * @param services how many services the archive servers belong to; the program knows one list, so
   *     it changes no play
   * @param tenants customers, over all plans
   * @param requestsPerS requests a second, over all edge nodes
   * @param event what happens a second after figures begin to count; null for a calm day
   */
  public record ModelSize(
      int nodes, int servers, int services, int tenants, double requestsPerS, ModelEvent event) {
    /** Checks its ranges; the message names the figure. */
    public ModelSize {
      check(nodes >= 1, "nodes is not 1 or more");
      check(services >= 1 && services <= servers, "services is not 1 to the servers, " + servers);
      check(tenants >= 1, "tenants is not 1 or more");
      check(requestsPerS > 0, "requests-per-s is not above 0");
    }

    /** What tells it from others, as a point has it. */
    public SortedMap<String, Double> key() {
      SortedMap<String, Double> key =
          new TreeMap<>(
              Map.of(
                  "nodes",
                  (double) nodes,
                  "servers",
                  (double) servers,
                  "services",
                  (double) services,
                  "tenants",
                  (double) tenants,
                  "requests-per-s",
                  requestsPerS));
      if (event != null) {
        key.put(event.name().toLowerCase(Locale.ROOT).replace('_', '-'), 1.0);
      }
      return key;
    }
  }

  /** Sizes over loopback; as {@link ModelSizes}. */
  public record SocketsSizes(double fromS, double spanS, List<SocketsSize> sizes) {
    /** Checks its ranges; the message names the figure. */
    public SocketsSizes {
      spans(fromS, spanS);
      check(!sizes.isEmpty(), "sizes is empty");
    }
  }

  /**
   * What is wrong with a control machine from the middle of the measured span to its end; every
   * answer that is lost is counted.
   */
  public enum ControlTrouble {
    /** The counter answers no call. */
    @JsonProperty("counter-stops")
    COUNTER_STOPS,
    /** The counter needs a hundred times as long. */
    @JsonProperty("counter-slow")
    COUNTER_SLOW,
    /** The counter's connections end in the midst of each answer. */
    @JsonProperty("counter-cuts")
    COUNTER_CUTS,
    /** Discovery says nothing. */
    @JsonProperty("discovery-stops")
    DISCOVERY_STOPS,
    /** Discovery's connections end in the midst of each line. */
    @JsonProperty("discovery-cuts")
    DISCOVERY_CUTS
  }

  /**
   * A size over loopback.
   *
   * @param real edge nodes that are processes of their own
   * @param hollow edge nodes that share one process
   * @param fleet how many edge nodes their settings tell, these and others that are not there; 0
   *     for these alone
   * @param realRequestsPerS requests a second at each real one; 0 for none
   * @param hollowRequestsPerS requests a second at each hollow one; 0 for none
   * @param trouble null for none
   */
  public record SocketsSize(
      int real,
      int hollow,
      int fleet,
      int servers,
      double realRequestsPerS,
      double hollowRequestsPerS,
      ControlTrouble trouble) {
    /** Checks its ranges; the message names the figure. */
    public SocketsSize {
      check(
          real >= 0 && hollow >= 0 && real + hollow >= 1,
          "real and hollow are not 0 or more, and 1 together");
      check(
          fleet == 0 || fleet >= real + hollow,
          "fleet is not 0, and less than real and hollow together");
      check(servers >= 1, "servers is not 1 or more");
      check(
          realRequestsPerS >= 0 && hollowRequestsPerS >= 0,
          "real-requests-per-s or hollow-requests-per-s is below 0");
    }

    /**
     * What tells it from others, as a point has it; its trouble is told by a figure 1 of its name.
     */
    public SortedMap<String, Double> key() {
      SortedMap<String, Double> key =
          new TreeMap<>(
              Map.of(
                  "nodes",
                  (double) real + hollow,
                  "real",
                  (double) real,
                  "hollow",
                  (double) hollow,
                  "fleet",
                  (double) Math.max(fleet, real + hollow),
                  "servers",
                  (double) servers,
                  "real-requests-per-s",
                  realRequestsPerS,
                  "hollow-requests-per-s",
                  hollowRequestsPerS));
      if (trouble != null) {
        key.put(trouble.name().toLowerCase(Locale.ROOT).replace('_', '-'), 1.0);
      }
      return key;
    }
  }

  /** Checks its ranges, and that its parts fit each other; the message names the key. */
  public ScaleFile {
    check(!regions.isEmpty(), "regions is empty");
    check(busy > 0 && busy < 1, "busy is not above 0 and below 1");
    check(idleS > 0, "idle-s is not above 0");
    check(model != null || sockets != null, "model or sockets is wanted");
    List<String> zones = regions.values().stream().flatMap(List::stream).sorted().toList();
    check(
        zones.stream().distinct().count() == zones.size() && !zones.isEmpty(),
        "regions has a zone twice, or none");
    List<ModelSize> sizes = model == null ? List.of() : model.sizes;
    for (int i = 0; i < sizes.size(); i++) {
      try {
        scenario(name, seed, regions, servers, counter, load, busy, model, sizes.get(i));
      } catch (IllegalArgumentException e) {
        throw new IllegalArgumentException("model.sizes." + i + " " + e.getMessage(), e);
      }
    }
    List<SocketsSize> real = sockets == null ? List.of() : sockets.sizes;
    for (int i = 0; i < real.size(); i++) {
      check(
          real.get(i).servers >= zones.size(),
          "sockets.sizes." + i + " has fewer servers than zones: " + zones.size());
    }
  }

  /** Reads and checks a whole file. */
  public static ScaleFile read(Path file) throws Scenario.InvalidScenarioException {
    return YamlFile.read(file, ScaleFile.class);
  }

  /** What a size of the model plays. */
  public Scenario scenario(ModelSize size, long withSeed) {
    return scenario(name, withSeed, regions, servers, counter, load, busy, model, size);
  }

  private static Scenario scenario(
      String name,
      long seed,
      Map<String, List<String>> regions,
      Scenario.Servers servers,
      Scenario.Counter counter,
      Scenario.Traffic load,
      double busy,
      ModelSizes times,
      ModelSize size) {
    List<String> zones = regions.values().stream().flatMap(List::stream).sorted().toList();
    check(
        size.nodes >= zones.size() && size.servers >= zones.size(),
        "has fewer nodes or servers than zones: " + zones.size());
    double parts = load.plans().stream().mapToInt(Scenario.Customers::customers).sum();
    check(parts > 0, "has no customers: load.plans has none");
    List<Scenario.Customers> plans = new ArrayList<>();
    double asked = 0;
    for (Scenario.Customers plan : load.plans()) {
      int customers = (int) Math.round(size.tenants * plan.customers() / parts);
      plans.add(with(plan, customers, plan.use()));
      asked += customers * plan.rate() * plan.use();
    }
    double more = size.requestsPerS / asked;
    plans.replaceAll(plan -> with(plan, plan.customers(), plan.use() * more));
    check(
        more >= 1 / MOST_TIMES && more <= MOST_TIMES,
        String.format(
            Locale.ROOT,
            "has tenants and requests-per-s that don't fit: these are "
                + "%.2f times what load.plans has such tenants ask, not %.1f to %.1f",
            more,
            1 / MOST_TIMES,
            MOST_TIMES));
    double shares = load.classes().stream().mapToDouble(Scenario.Kind::share).sum();
    double work =
        load.classes().stream().mapToDouble(kind -> kind.share() * kind.workMs()).sum() / shares;
    double wanted = busy * servers.cores() * size.servers / size.requestsPerS * MS;
    List<Scenario.Kind> classes =
        load.classes().stream()
            .map(
                kind ->
                    new Scenario.Kind(
                        kind.name(),
                        kind.share(),
                        kind.keyed(),
                        kind.aimS(),
                        kind.deadlineS(),
                        kind.workMs() * wanted / work,
                        kind.worth()))
            .toList();
    return new Scenario(
        name,
        seed,
        times.spanS,
        new Scenario.Fleet(zones, size.nodes, size.servers, regions),
        servers,
        counter,
        new Scenario.Traffic(
            load.shiftS(), load.skew(), load.noticeS(), classes, plans, load.retries()),
        null,
        faults(zones, times, size),
        0);
  }

  private static List<Scenario.Fault> faults(List<String> zones, ModelSizes times, ModelSize size) {
    double at = times.fromS + 1;
    double until = at + (times.spanS - at) / EVENT_PART;
    if (size.event == null) {
      return List.of();
    }
    return switch (size.event) {
      case ROLLOUT -> {
        int its = size.servers / size.services;
        yield IntStream.range(0, its)
            .mapToObj(
                i -> {
                  double begins = at + (times.spanS - at) / 2 * i / its;
                  return fault(
                      begins,
                      begins + (times.spanS - at) / EVENT_PART,
                      Scenario.Trouble.DRAIN,
                      "node:s" + i,
                      null);
                })
            .toList();
      }
      case ZONE_LOST ->
          List.of(
              fault(at, until, Scenario.Trouble.KILL, "zone:" + zones.get(zones.size() - 1), null));
      case COLD_START -> List.of(fault(at, at + 1, Scenario.Trouble.KILL, "*", null));
      case COUNTER_GONE -> List.of(fault(at, until, null, null, Scenario.CounterTrouble.GONE));
    };
  }

  private static Scenario.Fault fault(
      double at,
      double until,
      Scenario.Trouble what,
      String whom,
      Scenario.CounterTrouble counter) {
    return new Scenario.Fault(at, until, null, null, null, null, null, null, what, whom, counter);
  }

  private static Scenario.Customers with(Scenario.Customers plan, int customers, double use) {
    return new Scenario.Customers(
        plan.name(),
        customers,
        plan.rate(),
        plan.burst(),
        plan.price(),
        plan.ceiling(),
        use,
        plan.spread());
  }

  private static void spans(double fromS, double spanS) {
    check(spanS > 0 && spanS <= MOST_SPAN_S, "span-s is not above 0 and up to " + MOST_SPAN_S);
    check(fromS >= 0 && fromS < spanS, "from-s is not 0 or more and below span-s");
  }

  private static void check(boolean holds, String message) {
    if (!holds) {
      throw new IllegalArgumentException(message);
    }
  }
}

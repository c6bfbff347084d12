package edgegateway.testbed.scale;

import edgegateway.node.connections.UpstreamConnectionTable;
import edgegateway.policy.api.Outcome;
import edgegateway.testbed.scale.ScaleFile.ModelSize;
import edgegateway.testbed.scenario.Scenario;
import edgegateway.testbed.simulation.FleetSimulation;
import edgegateway.testbed.simulation.SimulationMeter;
import edgegateway.testbed.simulation.SimulationMeter.Activity;
import java.io.IOException;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;

/** Plays a size on virtual time. */
public final class SimulationScaleRun {
  private static final double SECOND = 1e9;
  private static final double MS = 1e6;
  private static final double US = 1e3;

  /** A counter that costs next to nothing, to tell what the real one's cost does. */
  private static final double FREE_MS = 1e-3;

  private SimulationScaleRun() {}

  /**
   * One play, and on a calm day a second with a counter that costs nothing; {@code progress} hears
   * how far it is.
   */
  public static MeasuredPoint play(
      ScaleFile file, ModelSize size, long seed, Consumer<String> progress)
      throws IOException, InterruptedException {
    Scenario scenario = file.scenario(size, seed);
    SortedMap<String, Double> figures = new TreeMap<>();
    RequestStatistics tally = play(file, scenario, progress, figures);
    tally.figures(figures);
    if (size.event() == null) {
      withFreeCounter(file, scenario, progress, figures);
    }
    return new MeasuredPoint(MeasuredPoint.Side.MODEL, seed, size.key(), figures);
  }

  private static void withFreeCounter(
      ScaleFile file, Scenario scenario, Consumer<String> progress, Map<String, Double> figures)
      throws IOException, InterruptedException {
    Scenario.Counter free =
        new Scenario.Counter(scenario.counter().parts(), FREE_MS, Integer.MAX_VALUE);
    SortedMap<String, Double> other = new TreeMap<>();
    progress.accept("the same with a counter that costs nothing");
    play(file, scenario.withCounter(free), progress, other).figures(other);
    for (String name :
        new String[] {
          "refused-with-room-share",
          "beyond-quota-share",
          "served-in-aim-share",
          "added-p99-ms",
          "counter-calls-per-node-s"
        }) {
      figures.put("free-counter-" + name, other.get(name));
    }
  }

  private static RequestStatistics play(
      ScaleFile file, Scenario scenario, Consumer<String> progress, Map<String, Double> figures)
      throws IOException, InterruptedException {
    double fromS = file.model().fromS();
    double span = file.model().spanS() - fromS;
    double nodes = scenario.topology().nodes();
    RequestStatistics tally =
        new RequestStatistics(
            scenario,
            FleetSimulation.FIRST_ARRIVAL_NANOS + (long) (fromS * SECOND),
            FleetSimulation.FIRST_ARRIVAL_NANOS + (long) (file.model().spanS() * SECOND));
    FleetSimulation.Measurements of =
        FleetSimulation.measure(
            scenario,
            UpstreamConnectionTable.maxIdleNanos((long) (file.idleS() * SECOND)),
            (long) (fromS * SECOND),
            tally,
            progress);
    SimulationMeter meter = of.meter();
    double calls = 0;
    for (Outcome one : Outcome.values()) {
      calls += meter.calls(one);
    }
    figures.put("counter-calls-per-node-s", calls / nodes / span);
    figures.put("counter-calls-per-s", calls / span);
    figures.put("counter-late-share", calls == 0 ? 0 : meter.calls(Outcome.TIMEOUT) / calls);
    figures.put(
        "counter-turned-away-share", calls == 0 ? 0 : meter.calls(Outcome.REJECTED) / calls);
    double attempts = meter.opened() + meter.reused();
    figures.put("connections-opened-per-request", attempts == 0 ? 0 : meter.opened() / attempts);
    figures.put("connections-opened-per-node-s", meter.opened() / nodes / span);
    figures.put("connections-per-node", of.connections() / nodes);
    figures.put(
        "connections-per-server", of.connections() / (double) scenario.topology().servers());
    figures.put("connections-at-one-server", (double) of.maxConnectionsToOneServer());
    figures.put("added-p50-ms", meter.added().getValueAtPercentile(50) / MS);
    figures.put("added-p99-ms", meter.added().getValueAtPercentile(99) / MS);
    for (Map.Entry<Activity, Histogram> one : meter.durations().entrySet()) {
      String name = "module-" + one.getKey().name().toLowerCase(Locale.ROOT).replace('_', '-');
      Histogram spans = one.getValue();
      figures.put(name + "-p50-us", spans.getValueAtPercentile(50) / US);
      figures.put(name + "-p99-us", spans.getValueAtPercentile(99) / US);
      figures.put(name + "-most-us", spans.getMaxValue() / US);
      if (!one.getKey().always()) {
        figures.put(
            name + "-cpu-share", spans.getMean() * spans.getTotalCount() / nodes / span / SECOND);
      }
    }
    figures.put("module-heap-bytes-per-node", of.heapBytesPerNode());
    figures.put("play-heap-mb", of.heapBytes() / (double) (1 << 20));
    figures.put("play-wall-s-per-s", of.wallSecondsPerSecond());
    return tally;
  }
}

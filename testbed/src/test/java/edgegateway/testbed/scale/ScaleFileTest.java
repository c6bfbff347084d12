package edgegateway.testbed.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.testbed.scale.ScaleFile.ModelSize;
import edgegateway.testbed.scenario.Scenario;
import edgegateway.testbed.scenario.YamlFile;
import edgegateway.testbed.workload.WorkloadClass;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ScaleFileTest {
  private static final Path FILE = Path.of("scale", "target.yaml");

  /**
   * The target, and each size asks as much as it says of servers that are as busy at each.
   */
  @Test
  void theSizesOfTheTargetFitEachOther() throws Exception {
    ScaleFile file = ScaleFile.read(FILE);
    assertEquals(new ModelSize(950, 8_900, 180, 70_000, 67_000, null), file.model().sizes().get(3));
    for (ModelSize size : file.model().sizes()) {
      Scenario scenario = file.scenario(size, 7);
      double asked =
          scenario.plans().stream()
              .mapToDouble(plan -> plan.customers() * plan.rate() * plan.use())
              .sum();
      assertEquals(size.requestsPerS(), asked, 1e-6 * asked);
      assertEquals(
          size.tenants(),
          scenario.plans().stream().mapToInt(plan -> plan.customers()).sum(),
          scenario.plans().size());
      double work =
          scenario.classes().stream().mapToDouble(kind -> kind.share() * kind.meanWorkNanos()).sum()
              / scenario.classes().stream().mapToDouble(WorkloadClass::share).sum();
      assertEquals(
          file.busy(), asked * work / 1e9 / (size.servers() * file.servers().cores()), 1e-6);
      assertEquals("south", scenario.topology().topology().servers().get(3).region());
    }
  }

  @Test
  void whatDoesNotFitIsToldWithItsPlace() throws Exception {
    String good = Files.readString(FILE);
    Map<String, String> broken =
        new TreeMap<>(
            Map.of(
                good.replace("south: [d, e]", "south: [c, e]"), "regions has a zone twice",
                good.replace("services: 180", "services: 8901"),
                    "model.sizes.3 services is not 1 to the servers, 8900",
                good.replace("{nodes: 300, servers: 3000", "{nodes: 4, servers: 3000"),
                    "model.sizes.2 has fewer nodes or servers than zones: 5",
                good.replace("servers: 200, real", "servers: 4, real"),
                    "sockets.sizes.0 has fewer servers than zones: 5",
                good.replace("tenants: 22200", "tenants: 2200"),
                    "model.sizes.2 has tenants and requests-per-s that don't fit",
                good.replace("servers: 8900", "servers: 10001"),
                    "model.sizes.3 servers is not 1 to 10000",
                good.replace(
                        "from-s: 10\n  span-s: 20\n  sizes:\n    - {nodes",
                        "from-s: 20\n  span-s: 20\n  sizes:\n    - {nodes"),
                    "from-s is not 0 or more and below span-s",
                good.replace("busy: 0.4", "busy: 1"), "busy is not above 0 and below 1",
                good.replace("real: 3, hollow: 20", "real: 0, hollow: 0"),
                    "real and hollow are not",
                good.replace("idle-s", "idle"), "idle-s is missing"));
    for (Map.Entry<String, String> one : broken.entrySet()) {
      String said =
          assertThrows(
                  Scenario.InvalidScenarioException.class,
                  () -> YamlFile.parse(one.getKey(), ScaleFile.class),
                  one.getValue())
              .getMessage();
      assertTrue(
          said.contains(one.getValue()) && said.startsWith("line ") && said.lines().count() == 1,
          said + " for " + one.getValue());
    }
  }

  /** Tables keep a size with another key apart, as one with a trouble. */
  @Test
  void aCalmSizeHasNoKeysButThoseOfAmounts() throws Exception {
    ScaleFile file = ScaleFile.read(FILE);
    file.model()
        .sizes()
        .forEach(
            size ->
                assertEquals(
                    size.event() == null,
                    MeasuredPoint.AMOUNTS.containsAll(size.key().keySet()),
                    size.toString()));
    file.sockets()
        .sizes()
        .forEach(
            size ->
                assertEquals(
                    size.trouble() == null,
                    MeasuredPoint.AMOUNTS.containsAll(size.key().keySet()),
                    size.toString()));
  }

  @Test
  void aResultIsReadAsItWasWritten(@TempDir Path folder) throws Exception {
    ScaleFile file = ScaleFile.read(FILE);
    MeasuredPoint point =
        new MeasuredPoint(
            MeasuredPoint.Side.MODEL,
            3,
            file.model().sizes().get(0).key(),
            new TreeMap<>(Map.of("x-per-s", 0.1)));
    ScaleResult result =
        new ScaleResult(file, "2026-12-02", "scale testbed/scale/target.yaml", List.of(point));
    result.write(folder.resolve("made"));
    assertEquals(result, ScaleResult.read(folder.resolve("made")));
  }
}

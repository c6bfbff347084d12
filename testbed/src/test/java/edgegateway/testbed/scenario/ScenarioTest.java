package edgegateway.testbed.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.testbed.checker.HistoryEvent;
import edgegateway.testbed.workload.RequestArrival;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class ScenarioTest {
  private static final Path FOLDER = Path.of("scenarios");
  private static final long MS = 1_000_000L;

  @Test
  void everyScenarioOfTheFolderIsRead() throws Exception {
    try (Stream<Path> files = Files.list(FOLDER)) {
      List<Path> all = files.toList();
      assertFalse(all.isEmpty());
      for (Path file : all) {
        assertEquals(file.getFileName().toString(), Scenario.read(file).name() + ".yaml");
      }
    }
  }

  @Test
  void aFaultIsToldWithItsLine() throws Exception {
    String good = Files.readString(FOLDER.resolve("zone-lost.yaml"));
    Map<String, String> broken =
        new TreeMap<>(
            Map.of(
                good.replace("zone:b", "zone:x"), "'zone:x' names nobody",
                good.replace("zone:b", "rack:b"), "'rack:b' is not *, node:NAME",
                good.replace("name: zone-lost", "nom: x"), "nom Unrecognized field \"nom\"",
                good.replace("span-s", "span"), "span-s is missing",
                good.replace("cores: 4", "cores: four"), "line 6: servers.cores Cannot deserialize",
                good.replace("cores: 4", "cores: 0"), "line 6: servers cores is out of its range",
                good.replace("nodes: 12", "nodes: 1001"), "line 5: topology nodes is not 1 to 1000",
                good.replace("until-s: 10", "until-s: 5"),
                    "at-s is below 0, or until-s is not after it",
                good.replace("work-ms: 200, worth: 1}", "work-ms: 0, worth: 1}"),
                    "line 13: load.classes.0 search: work is not above 0",
                good.replace("least: 0.5", "least: 2"), "least is not 0 to 1"));
    broken.putAll(
        Map.of(
            good.replace("what: kill", "what: burn"), "faults.0.what Cannot deserialize",
            good.replace("what: kill,", ""),
                "either from and to, or what and whom, or counter is wanted",
            good.replace("what: kill", "what: kill, counter: gone"),
                "either from and to, or what and whom, or counter is wanted",
            good.replace("what: kill", "what: kill, cut: true"),
                "both, cut, loss and delay-ms are about from and to",
            good.replace("zone:b", "racks/zone:b"), "'racks/zone:b' is not"));
    broken.put("a: [", "line 1: ");
    for (Map.Entry<String, String> one : broken.entrySet()) {
      String said =
          assertThrows(Scenario.InvalidScenarioException.class, () -> Scenario.parse(one.getKey()))
              .getMessage();
      assertTrue(
          said.contains(one.getValue()) && said.startsWith("line "),
          said + " for " + one.getValue());
    }
    assertTrue(
        assertThrows(
                Scenario.InvalidScenarioException.class, () -> Scenario.read(Path.of("none.yaml")))
            .getMessage()
            .startsWith("none.yaml cannot be read"));
  }

  @Test
  void aResultAddsUpWorthTimesAndAnswers() throws Exception {
    Scenario scenario = Scenario.read(FOLDER.resolve("zone-lost.yaml"));
    // Worth 0.72 for search on basico, 3 x 1.8 for license on editorial.
    List<RequestArrival> arrivals =
        List.of(
            arrival("in", 0, 0),
            arrival("late", 2, 1),
            arrival("refused", 0, 0),
            arrival("lost", 0, 0));
    List<HistoryEvent> history =
        List.of(
            asked("in", 0),
            new HistoryEvent.AttemptReceived(MS, "in", "s0"),
            new HistoryEvent.ResponseReceived(10 * MS, "in", 200),
            asked("late", 0),
            new HistoryEvent.AttemptReceived(MS, "late", "s1"),
            new HistoryEvent.ResponseReceived(1_501 * MS, "late", 200),
            asked("refused", 0),
            new HistoryEvent.ResponseReceived(MS, "refused", 429));
    RunResult result = RunResult.of(scenario, arrivals, history, 0, 2_000 * MS);
    assertEquals(0.72 / (3 * 0.72 + 5.4), result.goodput(), 1e-9);
    assertEquals(
        List.of(4, 2, 1, 1),
        List.of(result.asked(), result.served(), result.refused(), result.failed()));
    assertEquals(2, result.attempts());
    assertEquals(Map.of("a", 1, "b", 1), result.seconds().get(0).attempts());
    assertEquals(10, result.p50Ms(), 0.1);
    assertEquals(1_501, result.p99Ms(), 2);
  }

  private static RequestArrival arrival(String id, int plan, int kind) {
    return new RequestArrival(0, id, 1, plan, kind, 0, 0, 6_000 * MS, MS);
  }

  private static HistoryEvent.RequestSent asked(String id, long at) {
    return new HistoryEvent.RequestSent(at, id, "n0", 1, 0, 0, 6_000 * MS);
  }
}

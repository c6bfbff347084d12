package edgegateway.testbed.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.testbed.processes.DeployFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Short scenarios on three processes of the program: every rule holds. */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ScenarioRunTest {
  @TempDir Path folder;

  private RunResult play(String name) throws Exception {
    Scenario scenario = Scenario.read(Path.of(getClass().getResource(name + ".yaml").toURI()));
    RunResult result =
        ScenarioRun.of(scenario, DeployFile.read(Path.of("..").toRealPath()), folder, line -> {});
    assertEquals(List.of(), result.findings());
    assertTrue(result.goodput() > scenario.least(), "goodput " + result.goodput());
    return result;
  }

  @Test
  void aNodeDiesAndAZoneIsCutOff() throws Exception {
    RunResult result = play("killed");
    assertTrue(result.failed() > 0, "nobody asked the dead node");
    List<String> log = Files.readAllLines(folder.resolve("n0").resolve("log"));
    assertEquals(
        2,
        log.stream().filter(line -> line.contains("serving address=")).count(),
        "it began twice: " + log);
  }

  /**
   * Three processes, each told by an operator's call: nothing more reaches the zone, and it comes
   * back by small parts.
   */
  @Test
  void aZoneIsLeftByHandAndComesBack() throws Exception {
    List<SecondMetrics> seconds = play("by-hand").seconds();
    assertTrue(seconds.get(1).attempts().getOrDefault("b", 0) > 5, "before: " + seconds.get(1));
    assertEquals(0, seconds.get(4).attempts().getOrDefault("b", 0), "out: " + seconds.get(4));
    int back =
        seconds.subList(6, 10).stream().mapToInt(one -> one.attempts().getOrDefault("b", 0)).sum();
    int all =
        seconds.subList(6, 10).stream()
            .mapToInt(one -> one.attempts().values().stream().mapToInt(part -> part).sum())
            .sum();
    assertTrue(back < 0.2 * all, back + " of " + all + " at once");
  }

  /**
   * Three processes that tell each other nothing but votes on the counter: all leave a silent zone,
   * and come back together.
   */
  @Test
  void aSilentZoneIsLeftByTheFleetAndComesBack() throws Exception {
    List<SecondMetrics> seconds = play("verdict").seconds();
    int fleets = 0;
    for (String node : List.of("n0", "n1", "n2")) {
      List<String> log = Files.readAllLines(folder.resolve(node).resolve("log"));
      double left = time(log, "zone_ejected zone=b by=");
      double comes = time(log, "zone_returning zone=b by=");
      fleets +=
          log.stream()
                  .anyMatch(
                      line ->
                          line.contains("zone_ejected zone=b by=fleet votes=2 ")
                              || line.contains("zone_ejected zone=b by=fleet votes=3 "))
              ? 1
              : 0;
      assertTrue(left > 3 && left < 7, node + " left at " + left);
      assertTrue(comes > 8, node + " comes back at " + comes);
    }
    assertTrue(fleets >= 2, fleets + " nodes left by the fleet's word");
    assertTrue(seconds.get(1).attempts().getOrDefault("b", 0) > 5, "before: " + seconds.get(1));
    assertTrue(seconds.get(6).attempts().getOrDefault("b", 0) == 0, "out: " + seconds.get(6));
    int back =
        seconds.subList(10, 14).stream().mapToInt(one -> one.attempts().getOrDefault("b", 0)).sum();
    assertTrue(back > 5, "back: " + seconds);
  }

  private static double time(List<String> log, String text) {
    return log.stream()
        .filter(line -> line.contains(text))
        .mapToDouble(line -> Double.parseDouble(line.substring(0, line.indexOf(' '))))
        .findFirst()
        .orElseThrow(() -> new AssertionError(text + " is not in " + log));
  }

  @Test
  void serversDrainANodeEndsAnotherStandsStillAndTheCounterIsLost() throws Exception {
    RunResult result = play("drained");
    assertTrue(result.pressure() > 0, "nothing was sent to the servers that came back");
    List<String> history = Files.readAllLines(folder.resolve(HistoryFile.NAME));
    for (String event : List.of("Told", "Started", "Learned", "Lost")) {
      assertTrue(
          history.stream().anyMatch(line -> line.contains("\"event\":\"" + event + "\"")), event);
    }
    assertEquals(4, result.marks().size());
  }
}

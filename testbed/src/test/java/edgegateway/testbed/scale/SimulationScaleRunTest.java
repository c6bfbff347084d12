package edgegateway.testbed.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.testbed.checker.HistoryEvent;
import edgegateway.testbed.scenario.YamlFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** A small play on virtual time: the same verdict every time. */
class SimulationScaleRunTest {
  private static final String SMALL =
      "model:\n  from-s: 3\n  span-s: 6\n  sizes:\n    - {nodes: 20, servers: 100, services: 2, tenants: 1480, requests-per-s: 1400}\n";
  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;

  private static ScaleFile file(String idle) throws Exception {
    String target = Files.readString(Path.of("scale", "target.yaml"));
    return YamlFile.parse(
        target.substring(0, target.indexOf("model:")).replace("idle-s: 10", "idle-s: " + idle)
            + SMALL,
        ScaleFile.class);
  }

  private static SortedMap<String, Double> play(String idle, long seed) throws Exception {
    ScaleFile file = file(idle);
    List<String> progress = new ArrayList<>();
    MeasuredPoint point =
        SimulationScaleRun.play(file, file.model().sizes().get(0), seed, progress::add);
    assertTrue(
        progress.stream().anyMatch(line -> line.startsWith("6 of 6 s")),
        "seed " + seed + ": " + progress);
    assertEquals(
        Map.of(
            "nodes",
            20.0,
            "servers",
            100.0,
            "services",
            2.0,
            "tenants",
            1_480.0,
            "requests-per-s",
            1_400.0),
        point.size());
    SortedMap<String, Double> drawn = new TreeMap<>(point.figures());
    // What the machine took is another thing each time.
    drawn.keySet().removeIf(name -> name.startsWith("module-") || name.startsWith("play-"));
    assertEquals(
        point.figures().size() - drawn.size(),
        point.figures().keySet().stream().filter(name -> name.matches("(module|play)-.*")).count());
    return drawn;
  }

  @Test
  void theSameSeedGivesTheSameFiguresAndTheyFitEachOther() throws Exception {
    SortedMap<String, Double> first = play("10", 4);
    assertEquals(first, play("10", 4));
    assertTrue(!first.equals(play("10", 5)), "another seed gave the same");
    assertEquals(
        1,
        first.get("served-share") + first.get("refused-share") + first.get("failed-share"),
        1e-9);
    assertEquals(1_400, first.get("tries-per-s"), 100);
    assertTrue(
        first.get("served-in-aim-share") > 0.85 && first.get("failed-share") == 0,
        "seed 4: " + first);
    assertEquals(
        first.get("counter-calls-per-s"), 20 * first.get("counter-calls-per-node-s"), 1e-6);
    assertTrue(first.get("counter-calls-per-node-s") > 1, "seed 4: " + first);
    assertTrue(
        first.get("free-counter-added-p99-ms") <= first.get("added-p99-ms"), "seed 4: " + first);
    // Each node keeps connections, and no more of them than it has made requests in the span that
    // they are kept.
    assertTrue(
        first.get("connections-per-node") > 1 && first.get("connections-per-node") < 9 * 70,
        "seed 4: " + first);
    assertEquals(
        20 * first.get("connections-per-node"), 100 * first.get("connections-per-server"), 1e-6);
  }

  @Test
  void connectionsThatAreKeptForLessAreOpenedMoreOften() throws Exception {
    double kept = play("10", 6).get("connections-opened-per-request");
    double hardly = play("0.2", 6).get("connections-opened-per-request");
    assertTrue(
        kept > 0 && hardly > 1.5 * kept && hardly <= 1, "seed 6: " + kept + " and " + hardly);
  }

  /**
   * One who sees all edge nodes: two of three units are there, the third request is beyond; a
   * refusal then has no room.
   */
  @Test
  void aTallyTellsWhatWasBeyondTheQuotaAndWhatWasRefusedWithRoom() throws Exception {
    ScaleFile file = file("10");
    RequestStatistics tally =
        new RequestStatistics(file.scenario(file.model().sizes().get(0), 1), 0, 10 * SECOND);
    // The first plan has a burst of 7.5 units, and fills at 1.5 a second.
    for (int i = 0; i < 8; i++) {
      tally.accept(asked("r" + i, i));
      tally.accept(new HistoryEvent.AttemptReceived(i, "r" + i, "s0"));
      tally.accept(new HistoryEvent.AttemptReceived(i, "r" + i, "s1"));
      tally.accept(new HistoryEvent.ResponseReceived(9 * MS, "r" + i, 200));
    }
    tally.accept(asked("without room", 10 * MS));
    tally.accept(new HistoryEvent.ResponseReceived(20 * MS, "without room", 503));
    tally.accept(asked("with room", SECOND));
    tally.accept(new HistoryEvent.ResponseReceived(SECOND + MS, "with room", 503));
    tally.accept(asked("left", 2 * SECOND));
    tally.accept(new HistoryEvent.ClientDisconnected(3 * SECOND, "left"));
    tally.accept(asked("too late to count", 11 * SECOND));
    tally.accept(new HistoryEvent.ResponseReceived(11 * SECOND, "too late to count", 503));
    SortedMap<String, Double> figures = new TreeMap<>();
    tally.figures(figures);
    assertEquals(1 / 8.0, figures.get("beyond-quota-share"));
    assertEquals(1 / 11.0, figures.get("refused-with-room-share"), 1e-9);
    assertEquals(2 / 11.0, figures.get("refused-share"), 1e-9);
    assertEquals(8 / 11.0, figures.get("served-in-aim-share"), 1e-9);
    assertEquals(1 / 11.0, figures.get("failed-share"), 1e-9);
    assertEquals(8 * 100 / 16.0, figures.get("attempts-most-over-mean"), 1e-9);
  }

  private static HistoryEvent.RequestSent asked(String id, long at) {
    return new HistoryEvent.RequestSent(at, id, "n0", 7, 0, 0, at + 6 * SECOND);
  }
}

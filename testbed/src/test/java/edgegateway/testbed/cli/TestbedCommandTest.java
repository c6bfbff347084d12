package edgegateway.testbed.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.testbed.checker.HistoryEvent;
import edgegateway.testbed.scenario.HistoryFile;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The command line, where it starts no process. */
class TestbedCommandTest {
  private static final long MS = 1_000_000L;
  @TempDir Path folder;
  private String said = "";

  private int lab(String... args) {
    PrintStream out = System.out;
    PrintStream err = System.err;
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (PrintStream to = new PrintStream(bytes, true, StandardCharsets.UTF_8)) {
      System.setOut(to);
      System.setErr(to);
      return TestbedCommand.commandLine().execute(args);
    } finally {
      System.setOut(out);
      System.setErr(err);
      said = bytes.toString(StandardCharsets.UTF_8);
    }
  }

  @Test
  void theModelPlaysSeedsAndWritesAPageForEach() throws Exception {
    assertEquals(
        0,
        lab(
            "model",
            "scenarios/zone-lost.yaml",
            "--seeds",
            "4..5",
            "--jobs",
            "2",
            "--out",
            folder.toString()),
        said);
    assertTrue(
        said.contains("| goodput | 0.9") && said.contains("| rules broken | 0 (0 to 0) |"), said);
    Path page = folder.resolve("zone-lost-5").resolve("index.html");
    String html = Files.readString(page);
    assertTrue(
        html.contains("<h1>zone-lost, seed 5</h1>")
            && html.contains("All rules held")
            && html.contains("kill zone:b"),
        html);
    assertEquals(5, html.split("data:image/png;base64,", -1).length - 1);
    assertTrue(!html.contains("http"), "it needs a network");
    Files.delete(page);
    assertEquals(0, lab("report", page.getParent().toString()), said);
    assertEquals(html, Files.readString(page));
  }

  @Test
  void sizesArePlayedOneAfterTheOtherAndMakeTablesAndPlots() throws Exception {
    Path file = folder.resolve("small.yaml");
    String target = Files.readString(Path.of("scale/target.yaml"));
    Files.writeString(
        file,
        target.substring(0, target.indexOf("model:"))
            + "model:\n  from-s: 1\n  span-s: 4\n  sizes:\n"
            + "    - {nodes: 5, servers: 10, services: 1, tenants: 370, requests-per-s: 350}\n"
            + "    - {nodes: 10, servers: 20, services: 1, tenants: 740, requests-per-s: 700}\n"
            + "    - {nodes: 10, servers: 20, services: 1, tenants: 740, requests-per-s: 700, event: counter-gone}\n");
    assertEquals(
        0,
        lab(
            "scale",
            file.toString(),
            "--side",
            "model",
            "--seeds",
            "8..9",
            "--out",
            folder.resolve("made").toString()),
        said);
    assertTrue(said.contains("6 of 6: model, seed 9") && said.contains("4 of 4 s"), said);
    Path plots = folder.resolve("plots.html");
    assertEquals(
        0,
        lab("scale", "report", folder.resolve("made").toString(), "--plots", plots.toString()),
        said);
    assertTrue(
        said.contains(
            "| model | nodes 5, servers 10 | nodes 10, servers 20 | counter-gone, nodes 10, servers 20 |"),
        said);
    assertTrue(
        said.contains("small.yaml --side model --seeds 8..9` | model |")
            && !said.contains(folder.resolve("made").toString()),
        said);
    assertTrue(
        said.contains("| plays | 2 | 2 | 2 |") && said.contains("### In what order budgets break"),
        said);
    assertTrue(Files.readString(plots).contains("data:image/png;base64,"));
    assertEquals(
        0,
        lab(
            "scale",
            file.toString(),
            "--side",
            "model",
            "--sizes",
            "1..1",
            "--out",
            folder.resolve("made").toString()),
        said);
    assertTrue(said.contains("1 of 1: model, seed 1, ModelSize[nodes=5"), said);
    for (String[] bad :
        new String[][] {
          {"scale"},
          {"scale", file.toString(), "--side", "sockets"},
          {"scale", file.toString(), "--sizes", "4..9"},
          {"scale", "scenarios/calm.yaml"},
          {"scale", "report", folder.resolve("none").toString()}
        }) {
      assertEquals(2, lab(bad), said);
    }
  }

  @Test
  void whatCanNotBePlayedIsToldInOneLine() throws Exception {
    Path bad = folder.resolve("bad.yaml");
    Files.writeString(
        bad, Files.readString(Path.of("scenarios/calm.yaml")).replace("cores: 4", "cores: 0"));
    assertEquals(2, lab("model", bad.toString()));
    assertEquals(1, said.lines().count(), said);
    assertTrue(said.contains("cores is out of its range"), said);
    assertEquals(2, lab("list", folder.toString()));
    assertEquals(2, lab("report", folder.toString()));
    assertEquals(2, lab("trace", folder.toString(), "r1"));
    assertEquals(2, lab("model", "scenarios/calm.yaml", "--seeds", "5..4"));
    assertThrows(IllegalArgumentException.class, () -> SeedRange.parse("1..10001"));
    assertEquals(new SeedRange(7, 7), SeedRange.parse("7"));
    assertEquals(0, lab("list", "scenarios"));
    assertTrue(said.contains("zone-lost"), said);
  }

  @Test
  void aTraceHasOneRequestAndWhatItsNodeSaidMeanwhile() throws Exception {
    HistoryFile.write(
        folder,
        0,
        List.of(
            new HistoryEvent.RequestSent(MS, "r1", "n0", 7, 0, 0, 900 * MS),
            new HistoryEvent.RequestSent(2 * MS, "r2", "n1", 8, 0, 0, 900 * MS),
            new HistoryEvent.AttemptReceived(3 * MS, "r1", "s4"),
            new HistoryEvent.ResponseReceived(9 * MS, "r1", 200)));
    Files.createDirectories(folder.resolve("n0"));
    Files.write(
        folder.resolve("n0").resolve("log"),
        List.of("0.000 before", "0.005 endpoint_ejected id=s4 cause=TIMEOUT", "0.010 after"));
    assertEquals(0, lab("trace", folder.toString(), "r1"), said);
    List<String> lines = said.lines().map(String::trim).toList();
    assertEquals(4, lines.size(), said);
    assertTrue(lines.get(0).startsWith("0.001 s  Asked node=n0 customer=7"), said);
    assertEquals(
        List.of(
            "0.003 s  Sent server=s4",
            "0.005 s  n0: endpoint_ejected id=s4 cause=TIMEOUT",
            "0.009 s  Answered status=200"),
        lines.subList(1, 4));
    assertEquals(2, lab("trace", folder.toString(), "r9"));
  }
}

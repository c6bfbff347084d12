package edgegateway.testbed.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.testbed.scale.CapacityFile.Line;
import edgegateway.testbed.scenario.Scenario;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** The arithmetic of the capacity tables, on a result made by hand. */
class CapacityTest {
  private static final String FILE =
      """
        path:
          - {nodes: 100, servers: 200}
          - {nodes: 100, servers: 800}
          - {nodes: 400, servers: 3200}
        lines:
          - {role: counter, when: calm, quantity: calls, unit: calls/s, side: model, figure: calls-per-node-s, by: servers, times: [nodes], budget: 1500,
             mechanism: some class, client: waits}
          - {role: edge node, when: calm, quantity: opened, unit: a request, side: model, figure: opened, by: servers, budget: 0.2, mechanism: missing}
          - {role: edge node, when: rollout, quantity: bytes, unit: bytes, assumed: 250, times: [servers], factor: 2, budget: 10000000, mechanism: page}
          - {role: edge node, when: calm, quantity: never run, unit: s, side: sockets, figure: x, by: nodes, budget: 1, mechanism: page}
        """;

  private static MeasuredPoint point(
      long seed, double nodes, double servers, double calls, double opened) {
    return new MeasuredPoint(
        MeasuredPoint.Side.MODEL,
        seed,
        new TreeMap<>(Map.of("nodes", nodes, "servers", servers)),
        new TreeMap<>(Map.of("calls-per-node-s", calls, "opened", opened)));
  }

  private static ScaleResult result(MeasuredPoint... points) {
    return new ScaleResult(null, "2026-12-02", "scale by-hand.yaml", List.of(points));
  }

  private final ScaleResult byHand =
      result(
          point(1, 100, 200, 10, 0.1),
          point(2, 100, 200, 12, 0.1),
          point(3, 100, 200, 11, 0.1),
          point(1, 100, 800, 11, 0.1),
          point(1, 400, 3_200, 11, 0.9),
          point(2, 400, 3_200, 13, 0.7),
          point(3, 400, 3_200, 12, 0.8));

  private static List<String> cells(String table, String quantity) {
    String row =
        table
            .lines()
            .filter(line -> line.contains("| " + quantity))
            .findFirst()
            .orElseThrow(() -> new AssertionError(quantity + " in " + table));
    return List.of(row.substring(2, row.length() - 2).split(" \\| "));
  }

  @Test
  void aFigureIsItsSlopeTimesItsSizeAndTheRatioThatOverItsBudget() throws Exception {
    String table = CapacityTables.of(CapacityFile.parse(FILE), List.of(byHand));
    assertEquals(
        List.of(
            "counter",
            "calm",
            "calls",
            "12 (11 to 13) x 400 nodes = 4,800 calls/s",
            "derived",
            "1,500 calls/s",
            "3.2",
            "some class"),
        cells(table, "calls"));
    assertEquals(
        List.of(
            "edge node",
            "calm",
            "opened",
            "0.8 (0.7 to 0.9) a request",
            "measured",
            "0.2 a request",
            "4",
            "missing"),
        cells(table, "opened"));
    assertEquals(
        List.of(
            "edge node",
            "rollout",
            "bytes",
            "250 x 2 x 3,200 servers = 1,600,000 bytes",
            "assumed",
            "10,000,000 bytes",
            "0.16",
            "page"),
        cells(table, "bytes"));
    assertEquals(
        List.of("edge node", "calm", "never run", "-", "not run", "1 s", "-", "page"),
        cells(table, "never run"));
  }

  /**
   * Straight between measured sizes: calls pass 1,500 a tenth of the way from 800 to 3,200, opened
   * 0.2 a seventh of it.
   */
  @Test
  void budgetsAreToldInTheOrderInWhichTheyBreak() throws Exception {
    String table = CapacityTables.of(CapacityFile.parse(FILE), List.of(byHand));
    String order = table.substring(table.indexOf("### In what order"), table.indexOf("### Runs"));
    List<String> rows =
        order
            .lines()
            .filter(
                line ->
                    line.startsWith("| ") && !line.startsWith("| at ") && !line.startsWith("| ---"))
            .toList();
    assertEquals(2, rows.size(), order);
    double servers = 800 + 2_400 / 7.0;
    double nodes = 100 * servers / 800;
    assertTrue(
        rows.get(1)
            .startsWith(
                "| "
                    + Math.round(nodes)
                    + " x "
                    + ScaleTables.number(Math.round(servers))
                    + " | edge node | opened, calm | 0.2 a request"),
        order);
    assertTrue(
        rows.get(0)
            .contains(
                "| counter | calls, calm | 1,500 calls/s | 1,500 | 4,800 | waits | some class |"),
        order);
    double at = Double.parseDouble(rows.get(0).split(" ")[1]);
    assertEquals(1_500, at * (11 + (at * 8 - 800) / 2_400), 10);
  }

  @Test
  void aSlopeGoesOnStraightBeyondWhatWasMeasuredAndNotBelowNothing() throws Exception {
    Line line = CapacityFile.parse(FILE).lines().get(1);
    GrowthSlope up =
        new GrowthSlope(line, List.of(point(1, 100, 200, 0, 0.1), point(1, 100, 800, 0, 0.4)));
    assertEquals(1.6, up.at(Map.of("servers", 3_200.0)), 1e-9);
    assertEquals("derived, drawn on", up.mark(Map.of("servers", 3_200.0)));
    assertEquals("derived", up.mark(Map.of("servers", 500.0)));
    assertEquals(0.25, up.at(Map.of("servers", 500.0)), 1e-9);
    GrowthSlope down =
        new GrowthSlope(line, List.of(point(1, 100, 200, 0, 0.4), point(1, 100, 800, 0, 0.1)));
    assertEquals(0, down.at(Map.of("servers", 3_200.0)));
    assertEquals(
        0.4, new GrowthSlope(line, List.of(point(1, 100, 200, 0, 0.4))).at(Map.of("servers", 9.0)));
  }

  @Test
  void severalFiguresAreAddedUp() throws Exception {
    Line both =
        CapacityFile.parse(FILE.replace("figure: opened", "figure: opened + calls-per-node-s"))
            .lines()
            .get(1);
    assertEquals(11.1, new GrowthSlope(both, byHand.points()).at(Map.of("servers", 800.0)), 1e-9);
    assertTrue(
        !new GrowthSlope(
                CapacityFile.parse(FILE.replace("figure: opened", "figure: opened + closed"))
                    .lines()
                    .get(1),
                byHand.points())
            .known());
  }

  /**
   * What a plot shows: each size's median, and what the slope may be there that the whole budget
   * holds.
   */
  @Test
  void aCurveHasItsBudgetAtEachSize() throws Exception {
    List<GrowthCurve> curves = GrowthCurve.of(CapacityFile.parse(FILE), List.of(byHand));
    assertEquals(
        List.of("counter, calm: calls", "edge node, calm: opened"),
        curves.stream().map(GrowthCurve::title).toList());
    assertEquals(Map.of(200.0, 11.0, 800.0, 11.0, 3_200.0, 12.0), curves.get(0).slopes());
    assertEquals(List.of(15.0, 15.0, 3.75), curves.get(0).budget());
    assertEquals(List.of(0.2, 0.2, 0.2), curves.get(1).budget());
  }

  /** A play with a trouble says nothing of a calm one. */
  @Test
  void aPlayWithATroubleCountsOnlyWhereALineWantsIt() throws Exception {
    MeasuredPoint calm = point(1, 100, 200, 1, 0.1);
    MeasuredPoint stopped =
        new MeasuredPoint(
            MeasuredPoint.Side.MODEL,
            1,
            new TreeMap<>(Map.of("nodes", 100.0, "servers", 200.0, "counter-stops", 1.0)),
            new TreeMap<>(Map.of("calls-per-node-s", 9.0)));
    Line line = CapacityFile.parse(FILE).lines().get(0);
    Map<String, Double> size = Map.of("nodes", 100.0, "servers", 200.0);
    assertEquals(100, new GrowthSlope(line, List.of(calm, stopped)).figure(size));
    Line wants =
        CapacityFile.parse(
                FILE.replace(
                    "figure: calls-per-node-s, by: servers,",
                    "figure: calls-per-node-s, by: servers, where: {counter-stops: 1},"))
            .lines()
            .get(0);
    assertEquals(900, new GrowthSlope(wants, List.of(calm, stopped)).figure(size));
  }

  @Test
  void whatDoesNotFitIsToldInOneLine() {
    Map<String, String> broken =
        new TreeMap<>(
            Map.of(
                FILE.replace("assumed: 250", "assumed: 250, figure: x"),
                    "either assumed, or side, figure and by are wanted for bytes",
                FILE.replace("times: [servers]", "times: [customers]"),
                    "by or times of bytes is not a key of path",
                FILE.replace("{nodes: 100, servers: 800}", "{nodes: 100}"),
                    "path has sizes of different keys",
                FILE.replace("unit: a request, ", ""),
                    "role, when, quantity, unit or mechanism is missing"));
    for (Map.Entry<String, String> one : broken.entrySet()) {
      String said =
          assertThrows(
                  Scenario.InvalidScenarioException.class,
                  () -> CapacityFile.parse(one.getKey()),
                  one.getValue())
              .getMessage();
      assertTrue(said.contains(one.getValue()) && said.lines().count() == 1, said);
    }
  }

  /**
   * In the program's own tables each product and ratio is what its numbers, as printed, come to.
   */
  @Test
  void theProgramsOwnLinesAddUpAsPrinted() throws Exception {
    CapacityFile own = CapacityFile.own();
    List<MeasuredPoint> points = new ArrayList<>();
    for (Line line : own.lines()) {
      if (line.figure() != null) {
        TreeMap<String, Double> size = new TreeMap<>(own.target());
        size.putAll(line.where());
        TreeMap<String, Double> figures = new TreeMap<>();
        List.of(line.figure().split(" \\+ ")).forEach(figure -> figures.put(figure, 0.0417));
        points.add(new MeasuredPoint(line.side(), 1, size, figures));
      }
    }
    String table = CapacityTables.of(own, List.of(result(points.toArray(new MeasuredPoint[0]))));
    Matcher products = Pattern.compile("\\| ([0-9., x a-z-]+) = ([0-9,.]+) .*").matcher(table);
    int seen = 0;
    while (products.find()) {
      double product = 1;
      for (String factor : products.group(1).split(" x ")) {
        product *= Double.parseDouble(factor.split(" ")[0].replace(",", ""));
      }
      assertEquals(
          1,
          product / Double.parseDouble(products.group(2).replace(",", "")),
          0.02,
          products.group());
      seen++;
    }
    assertTrue(seen > 0 && !table.contains("not run"), table);
  }
}

package edgegateway.testbed.scale;

import edgegateway.testbed.scale.CapacityFile.Line;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * The capacity tables in Markdown: what each line comes to at the target, in what order budgets
 * break on the way, and the runs behind it.
 */
public final class CapacityTables {
  private static final int STEPS = 200;
  private static final int HALVES = 40;

  /**
   * Where on the way a budget breaks: 0 at the path's first size, 1 at its second and so on;
   * infinite if nowhere.
   */
  private record Broken(Line line, GrowthSlope slope, double place) {}

  private final CapacityFile file;
  private final List<MeasuredPoint> points;
  private final StringBuilder text = new StringBuilder();

  private CapacityTables(CapacityFile file, List<MeasuredPoint> points) {
    this.file = file;
    this.points = points;
  }

  /** The tables of these results. */
  public static String of(CapacityFile file, List<ScaleResult> results) {
    CapacityTables tables =
        new CapacityTables(file, results.stream().flatMap(one -> one.points().stream()).toList());
    tables.target();
    tables.order();
    tables.runs(results);
    return tables.text.toString();
  }

  private void target() {
    Map<String, Double> target = file.target();
    text.append("### At the target: ")
        .append(label(target))
        .append(
            "\n\n| role | when | quantity | slope x size = figure | is | budget | figure / budget | "
                + "mechanism |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (Line line : file.lines()) {
      GrowthSlope slope = new GrowthSlope(line, points);
      boolean bound = line.budget() != null;
      text.append("| ")
          .append(
              String.join(
                  " | ",
                  line.role(),
                  line.when(),
                  line.quantity(),
                  slope.known() ? product(line, slope) : "-",
                  slope.mark(target),
                  bound ? ScaleTables.number(line.budget()) + " " + line.unit() : "-",
                  bound && slope.known() ? ScaleTables.number(slope.ratio(target)) : "-",
                  line.mechanism()))
          .append(" |\n");
    }
    text.append('\n');
    List<Line> said = file.lines().stream().filter(line -> line.source() != null).toList();
    said.forEach(
        line ->
            text.append("- ")
                .append(line.role())
                .append(", ")
                .append(line.quantity())
                .append(": ")
                .append(line.source())
                .append('\n'));
    text.append(said.isEmpty() ? "" : "\n");
  }

  private String product(Line line, GrowthSlope slope) {
    Map<String, Double> target = file.target();
    double[] spread = slope.spread(target);
    StringBuilder product = new StringBuilder(ScaleTables.number(slope.at(target)));
    if (spread != null) {
      product
          .append(" (")
          .append(ScaleTables.number(spread[0]))
          .append(" to ")
          .append(ScaleTables.number(spread[1]))
          .append(')');
    }
    if (line.factor() != 1) {
      product.append(" x ").append(ScaleTables.number(line.factor()));
    }
    line.times()
        .forEach(
            key ->
                product
                    .append(" x ")
                    .append(ScaleTables.number(target.get(key)))
                    .append(' ')
                    .append(key));
    boolean plain = line.times().isEmpty() && line.factor() == 1;
    return product
        .append(plain ? " " : " = " + ScaleTables.number(slope.figure(target)) + " ")
        .append(line.unit())
        .toString();
  }

  private void order() {
    List<Broken> broken =
        file.lines().stream()
            .filter(line -> line.budget() != null)
            .map(line -> new Broken(line, new GrowthSlope(line, points), 0))
            .filter(one -> one.slope.known())
            .map(one -> new Broken(one.line, one.slope, place(one.slope)))
            .filter(one -> !Double.isInfinite(one.place))
            .sorted(Comparator.comparingDouble(Broken::place))
            .toList();
    text.append("### In what order budgets break, on the way over ")
        .append(file.path().stream().map(CapacityTables::label).collect(Collectors.joining(", ")))
        .append("\n\n");
    text.append(
        "| at nodes x servers | role | quantity | there | budget | at the target | clients see | mechanism |\n"
            + "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (Broken one : broken) {
      Map<String, Double> size = size(one.place);
      text.append("| ")
          .append(
              String.join(
                  " | ",
                  one.place == 0 ? "already at " + label(size) : label(size),
                  one.line.role(),
                  one.line.quantity() + ", " + one.line.when(),
                  ScaleTables.number(one.slope.figure(size)) + " " + one.line.unit(),
                  ScaleTables.number(one.line.budget()),
                  ScaleTables.number(one.slope.figure(file.target())),
                  one.line.client() == null ? "-" : one.line.client(),
                  one.line.mechanism()))
          .append(" |\n");
    }
    text.append('\n');
  }

  private double place(GrowthSlope slope) {
    double last = file.path().size() - 1.0;
    if (slope.ratio(size(0)) > 1) {
      return 0;
    }
    for (int i = 1; i <= STEPS * (int) last; i++) {
      double above = i / (double) STEPS;
      double below = above - 1.0 / STEPS;
      if (slope.ratio(size(above)) > 1) {
        for (int half = 0; half < HALVES; half++) {
          double middle = (below + above) / 2;
          boolean breaks = slope.ratio(size(middle)) > 1;
          above = breaks ? middle : above;
          below = breaks ? below : middle;
        }
        return above;
      }
    }
    return Double.POSITIVE_INFINITY;
  }

  /** A size on the way: between two of the path by even factors. */
  private Map<String, Double> size(double place) {
    int first = (int) Math.min(place, file.path().size() - 2.0);
    Map<String, Double> from = file.path().get(first);
    Map<String, Double> to = file.path().get(first + 1);
    Map<String, Double> size = new TreeMap<>();
    from.forEach(
        (key, value) ->
            size.put(
                key,
                place - first == 1
                    ? to.get(key)
                    : value * Math.pow(to.get(key) / value, place - first)));
    return size;
  }

  private static String label(Map<String, Double> size) {
    return ScaleTables.number(Math.rint(size.get("nodes")))
        + " x "
        + ScaleTables.number(Math.rint(size.get("servers")));
  }

  private void runs(List<ScaleResult> results) {
    text.append(
        "### Runs\n\n| date | command | side | sizes, nodes x servers | seeds |\n| --- | --- | --- | --- | --- |\n");
    for (ScaleResult one : results) {
      Map<MeasuredPoint.Side, List<MeasuredPoint>> sides =
          one.points().stream()
              .collect(
                  Collectors.groupingBy(MeasuredPoint::side, TreeMap::new, Collectors.toList()));
      sides.forEach(
          (side, played) -> {
            Map<String, TreeSet<Long>> seeds = new LinkedHashMap<>();
            played.forEach(
                point ->
                    seeds
                        .computeIfAbsent(label(point.size()), any -> new TreeSet<>())
                        .add(point.seed()));
            List<String> all = new ArrayList<>();
            seeds.values().stream()
                .distinct()
                .forEach(
                    its ->
                        all.add(
                            its.stream().map(String::valueOf).collect(Collectors.joining(", "))));
            text.append("| ")
                .append(
                    String.join(
                        " | ",
                        one.date(),
                        "`testbed " + one.command() + "`",
                        side.name().toLowerCase(Locale.ROOT),
                        String.join(", ", seeds.keySet()),
                        String.join("; ", all)))
                .append(" |\n");
          });
    }
    text.append('\n');
  }
}

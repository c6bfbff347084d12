package edgegateway.testbed.scale;

import edgegateway.testbed.scale.CapacityFile.Line;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * What measured points say of a line of the capacity tables: its slope over size, and the figure
 * that follows.
 */
final class GrowthSlope {
  private final Line line;

  /**
   * All plays of a size, from the least to the most, by the size's value of the line's {@code by}.
   */
  private final TreeMap<Double, double[]> measured = new TreeMap<>();

  GrowthSlope(Line line, List<MeasuredPoint> points) {
    this.line = line;
    Map<Double, List<MeasuredPoint>> bySize =
        points.stream()
            .filter(this::concerns)
            .collect(Collectors.groupingBy(point -> point.size().get(line.by())));
    bySize.forEach(
        (size, plays) ->
            measured.put(size, plays.stream().mapToDouble(this::sum).sorted().toArray()));
  }

  private List<String> figures() {
    return List.of(line.figure().split(" \\+ "));
  }

  private double sum(MeasuredPoint of) {
    return figures().stream().mapToDouble(of.figures()::get).sum();
  }

  private boolean concerns(MeasuredPoint point) {
    return point.side() == line.side()
        && point.figures().keySet().containsAll(figures())
        && point.size().containsKey(line.by())
        && point.size().keySet().stream()
            .allMatch(key -> MeasuredPoint.AMOUNTS.contains(key) || line.where().containsKey(key))
        && line.where().entrySet().stream()
            .allMatch(one -> one.getValue().equals(point.size().get(one.getKey())));
  }

  /** The medians of the plays by what the line goes by. */
  SortedMap<Double, Double> medians() {
    SortedMap<Double, Double> medians = new TreeMap<>();
    measured.forEach((size, plays) -> medians.put(size, ScaleTables.median(plays)));
    return medians;
  }

  /** Whether there is anything to go by. */
  boolean known() {
    return line.assumed() != null || !measured.isEmpty();
  }

  /** How the figure at a size came about. */
  String mark(Map<String, Double> size) {
    boolean direct =
        line.times().isEmpty()
            && line.factor() == 1
            && line.by() != null
            && measured.containsKey(size.get(line.by()));
    if (line.assumed() != null || !known()) {
      return line.assumed() != null ? "assumed" : "not run";
    }
    double x = size.get(line.by());
    boolean beyond = x > measured.lastKey() || x < measured.firstKey();
    return direct ? "measured" : beyond ? "derived, drawn on" : "derived";
  }

  /**
   * The slope at a size: the median where that was played, else straight between its neighbours, or
   * on beyond the last two; not below 0.
   */
  double at(Map<String, Double> size) {
    if (line.assumed() != null) {
      return line.assumed();
    }
    double x = size.get(line.by());
    if (measured.size() == 1 || measured.containsKey(x)) {
      return ScaleTables.median(measured.getOrDefault(x, measured.firstEntry().getValue()));
    }
    Double below = measured.lowerKey(x);
    Double above = measured.higherKey(x);
    if (below == null) {
      below = measured.firstKey();
      above = measured.higherKey(below);
    } else if (above == null) {
      above = measured.lastKey();
      below = measured.lowerKey(above);
    }
    double from = ScaleTables.median(measured.get(below));
    double to = ScaleTables.median(measured.get(above));
    return Math.max(0, from + (to - from) * (x - below) / (above - below));
  }

  /**
   * The least and the most of the plays at just this size; null if none were played there, or one.
   */
  double[] spread(Map<String, Double> size) {
    double[] plays = line.by() == null ? null : measured.get(size.get(line.by()));
    return plays == null || plays.length < 2
        ? null
        : new double[] {plays[0], plays[plays.length - 1]};
  }

  /** Slope x size. */
  double figure(Map<String, Double> size) {
    double figure = at(size) * line.factor();
    for (String key : line.times()) {
      figure *= size.get(key);
    }
    return figure;
  }

  /** Figure over budget. */
  double ratio(Map<String, Double> size) {
    return figure(size) / line.budget();
  }
}

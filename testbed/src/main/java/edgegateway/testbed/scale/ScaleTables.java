package edgegateway.testbed.scale;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * What was measured, as tables in Markdown: a row for each figure, a column for each size, the
 * median (least to most) of its plays.
 */
public final class ScaleTables {
  private static final List<String> SHOWN = List.of("nodes", "servers", "real");

  private ScaleTables() {}

  /**
   * The tables of all sides that were played, points of one size side by side whichever result they
   * are from.
   */
  public static String of(List<ScaleResult> results) {
    StringBuilder text = new StringBuilder();
    for (MeasuredPoint.Side side : MeasuredPoint.Side.values()) {
      Map<SortedMap<String, Double>, List<MeasuredPoint>> sizes =
          results.stream()
              .flatMap(one -> one.points().stream())
              .filter(point -> point.side() == side)
              .collect(
                  Collectors.groupingBy(
                      MeasuredPoint::size, LinkedHashMap::new, Collectors.toList()));
      if (!sizes.isEmpty()) {
        table(text, side, sizes);
      }
    }
    return text.toString();
  }

  private static void table(
      StringBuilder text,
      MeasuredPoint.Side side,
      Map<SortedMap<String, Double>, List<MeasuredPoint>> sizes) {
    TreeSet<String> names = new TreeSet<>();
    sizes
        .values()
        .forEach(points -> points.forEach(point -> names.addAll(point.figures().keySet())));
    text.append("| ").append(side.name().toLowerCase(Locale.ROOT)).append(" |");
    sizes.keySet().forEach(size -> text.append(' ').append(label(size)).append(" |"));
    text.append("\n| --- |").append(" --- |".repeat(sizes.size())).append('\n');
    text.append("| plays |");
    sizes.values().forEach(points -> text.append(' ').append(points.size()).append(" |"));
    text.append('\n');
    for (String name : names) {
      text.append("| ").append(name).append(" |");
      for (List<MeasuredPoint> points : sizes.values()) {
        text.append(' ').append(cell(points, name)).append(" |");
      }
      text.append('\n');
    }
    text.append('\n');
  }

  private static String label(SortedMap<String, Double> size) {
    return size.entrySet().stream()
        .filter(
            one -> SHOWN.contains(one.getKey()) || !MeasuredPoint.AMOUNTS.contains(one.getKey()))
        .map(
            one ->
                MeasuredPoint.AMOUNTS.contains(one.getKey())
                    ? one.getKey() + " " + number(one.getValue())
                    : one.getKey())
        .collect(Collectors.joining(", "));
  }

  private static String cell(List<MeasuredPoint> points, String name) {
    double[] sorted =
        points.stream()
            .map(point -> point.figures().get(name))
            .filter(value -> value != null)
            .mapToDouble(value -> value)
            .sorted()
            .toArray();
    return sorted.length == 0
        ? "-"
        : number(median(sorted))
            + (sorted.length == 1
                ? ""
                : " (" + number(sorted[0]) + " to " + number(sorted[sorted.length - 1]) + ")");
  }

  /** The lower middle of sorted values. */
  static double median(double... sorted) {
    return sorted[(sorted.length - 1) / 2];
  }

  /** Three digits that count, and all before the point. */
  static String number(double value) {
    double size = Math.abs(value);
    int digits =
        value == 0 || size >= 100 ? 0 : (int) Math.max(0, 2 - Math.floor(Math.log10(size)));
    String text = String.format(Locale.ROOT, "%,." + digits + "f", value);
    return text.contains(".") ? text.replaceAll("0+$", "").replaceAll("\\.$", "") : text;
  }
}

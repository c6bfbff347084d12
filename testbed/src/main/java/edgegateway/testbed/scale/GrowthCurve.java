package edgegateway.testbed.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;

/**
 * A line of the capacity tables over size, for a plot.
 *
 * @param title the role and the quantity
 * @param unit of the slope
 * @param by what size it is over
 * @param slopes the median of the plays at each size
 * @param budget what the slope may be at each of these sizes; empty if nothing bounds it
 */
public record GrowthCurve(
    String title, String unit, String by, SortedMap<Double, Double> slopes, List<Double> budget) {
  /** The lines that were played at two sizes or more. */
  public static List<GrowthCurve> of(CapacityFile file, List<ScaleResult> results) {
    List<MeasuredPoint> points = results.stream().flatMap(one -> one.points().stream()).toList();
    List<GrowthCurve> curves = new ArrayList<>();
    for (CapacityFile.Line line : file.lines()) {
      SortedMap<Double, Double> slopes = new GrowthSlope(line, points).medians();
      if (slopes.size() > 1) {
        curves.add(
            new GrowthCurve(
                line.role() + ", " + line.when() + ": " + line.quantity(),
                line.unit()
                    + (line.times().isEmpty()
                        ? ""
                        : " for each of " + String.join(", ", line.times())),
                line.by(),
                slopes,
                budgets(file, line, slopes)));
      }
    }
    return curves;
  }

  /**
   * The whole budget by the size on the path that has as much of what the line goes by; none if the
   * path has no such size.
   */
  private static List<Double> budgets(
      CapacityFile file, CapacityFile.Line line, SortedMap<Double, Double> slopes) {
    List<Double> budgets = new ArrayList<>();
    for (double at : slopes.keySet()) {
      for (Map<String, Double> size : file.path()) {
        if (line.budget() != null && size.get(line.by()) == at && budgets.size() < slopes.size()) {
          budgets.add(
              line.budget()
                  / line.factor()
                  / line.times().stream().mapToDouble(size::get).reduce(1, (a, b) -> a * b));
          break;
        }
      }
    }
    return budgets.size() == slopes.size() ? budgets : List.of();
  }
}

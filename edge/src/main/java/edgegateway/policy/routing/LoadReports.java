package edgegateway.policy.routing;

import java.util.List;
import java.util.Set;

/** Computes the load of endpoints from their load reports, and its moving average. */
final class LoadReports {
  /** The reported values whose sum is the load of an endpoint. */
  private static final Set<String> LOAD_VALUES = Set.of("waiting", "active", "cpu");

  /** Weight of one report in the moving average. */
  private static final double AVERAGE_WEIGHT = 0.05;

  private final List<String> valueNames;
  private double averageLoad;

  /** {@code valueNames} are the names of a report's values, in their order. */
  LoadReports(List<String> valueNames) {
    this.valueNames = valueNames;
  }

  /** The moving average of the load over the reports of all endpoints; 0 before the first. */
  double averageLoad() {
    return averageLoad;
  }

  /**
   * Adds a report to the average and returns its load. An endpoint that reports nothing is not
   * taken as idle: its load counts as well above the average.
   *
   * @param report the values; empty if the endpoint reported none
   */
  double add(List<Double> report) {
    double load = report.isEmpty() ? 1 + 2 * averageLoad : 0;
    for (int i = 0; i < Math.min(report.size(), valueNames.size()); i++) {
      load += LOAD_VALUES.contains(valueNames.get(i)) ? report.get(i) : 0;
    }
    averageLoad += AVERAGE_WEIGHT * (load - averageLoad);
    return load;
  }
}

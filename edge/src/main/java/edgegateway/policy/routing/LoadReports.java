package edgegateway.policy.routing;

import java.util.List;
import java.util.Set;

/** Reads the load reports of endpoints and keeps their average. */
final class LoadReports {
  /** The values of a report that tell how busy an endpoint is. */
  private static final Set<String> LOAD_VALUES = Set.of("waiting", "active", "cpu");

  private static final double AVERAGE_WEIGHT = 0.05;

  private final List<String> names;
  private double averageLoad;

  /** {@code names} are the names of a report's values, in their order. */
  LoadReports(List<String> names) {
    this.names = names;
  }

  double averageLoad() {
    return averageLoad;
  }

  /**
   * Returns the load that a report tells, and counts it into the average.
   *
   * @param report the values; empty if the endpoint reported none, which does not mean that it is
   *     idle
   */
  double read(List<Double> report) {
    double load = report.isEmpty() ? 1 + 2 * averageLoad : 0;
    for (int i = 0; i < Math.min(report.size(), names.size()); i++) {
      load += LOAD_VALUES.contains(names.get(i)) ? report.get(i) : 0;
    }
    averageLoad += AVERAGE_WEIGHT * (load - averageLoad);
    return load;
  }
}

package edgegateway.policy.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Moving averages over similar endpoints: latency by machine type, errors by zone. They stand in
 * for an endpoint's own averages where this node has sent it few attempts lately.
 */
final class PeerAverages {
  // Averages before the first sample.
  private static final double DEFAULT_LATENCY_RATIO = 1;
  private static final double DEFAULT_ERROR_RATE = 0;

  private final Map<Integer, Double> latencyRatios = new HashMap<>();
  private final Map<Integer, Double> errorRates = new HashMap<>();

  /** The average latency of a machine type, as a multiple of the expected service time. */
  double latencyRatio(int machineType) {
    return latencyRatios.getOrDefault(machineType, DEFAULT_LATENCY_RATIO);
  }

  /** The average error rate in a zone, 0 to 1. */
  double errorRate(int zone) {
    return errorRates.getOrDefault(zone, DEFAULT_ERROR_RATE);
  }

  void addLatencyRatio(int machineType, double ratio, double weight) {
    latencyRatios.merge(
        machineType, ratio, (average, sample) -> average + weight * (sample - average));
  }

  void addError(int zone, double error, double weight) {
    // The second argument is the first average of a zone: one sample added to an error rate of 0.
    errorRates.merge(
        zone, weight * error, (average, first) -> average + weight * (error - average));
  }
}

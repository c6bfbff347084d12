package edgegateway.policy.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Averages over endpoints that are alike: latency by machine type, errors by zone. Where a node
 * hears little of one endpoint, it goes by what it hears of its peers.
 */
final class PeerAverages {
  private static final double UNKNOWN_LATENCY_RATIO = 1;
  private static final double UNKNOWN_ERROR_RATE = 0;

  private final Map<Integer, Double> latencyRatios = new HashMap<>();
  private final Map<Integer, Double> errorRates = new HashMap<>();

  /** The average latency of a machine type, as a multiple of the expected service time. */
  double latencyRatio(int machineType) {
    return latencyRatios.getOrDefault(machineType, UNKNOWN_LATENCY_RATIO);
  }

  /** The average rate of errors in a zone, 0 to 1. */
  double errorRate(int zone) {
    return errorRates.getOrDefault(zone, UNKNOWN_ERROR_RATE);
  }

  void addLatencyRatio(int machineType, double ratio, double weight) {
    latencyRatios.merge(machineType, ratio, (known, added) -> known + weight * (added - known));
  }

  void addError(int zone, double error, double weight) {
    errorRates.merge(zone, weight * error, (known, first) -> known + weight * (error - known));
  }
}

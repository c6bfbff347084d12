package edgegateway.node.connections;

/** Exponentially weighted moving average of durations, in nanoseconds. */
final class MovingAverage {
  private static final double NEW_SAMPLE_WEIGHT = 0.1;

  /** 0 until there is a sample. */
  private double nanos;

  /** Creates an average without samples. */
  MovingAverage() {}

  /** Starts from an estimate, which counts as the first sample. */
  MovingAverage(long initialNanos) {
    nanos = initialNanos;
  }

  void add(long sampleNanos) {
    nanos = nanos == 0 ? sampleNanos : nanos + NEW_SAMPLE_WEIGHT * (sampleNanos - nanos);
  }

  /** The average, or 0 without samples. */
  double nanos() {
    return nanos;
  }
}

package edgegateway.node.connections;

/** Exponentially weighted moving average of durations, in nanoseconds. */
final class MovingAverage {
  private static final double WEIGHT_OF_NEWEST = 0.1;

  /** 0 until the first sample. */
  private double nanos;

  /** No sample yet. */
  MovingAverage() {}

  /** Begins with an assumed value. */
  MovingAverage(long initialNanos) {
    nanos = initialNanos;
  }

  void add(long sampleNanos) {
    nanos = nanos == 0 ? sampleNanos : nanos + WEIGHT_OF_NEWEST * (sampleNanos - nanos);
  }

  /** 0 if there was no sample. */
  double nanos() {
    return nanos;
  }
}

package edgegateway.policy.routing;

import edgegateway.policy.time.EventClock;
import java.util.SplittableRandom;

/**
 * Limits what endpoints in slow start are sent: each gets its part of the work that an endpoint
 * past its slow start gets from this node. Drawn by chance, so that no burst comes of many nodes.
 */
final class SlowStartLimiter {
  /** The average of the work sent has this memory. */
  private static final double WORK_MEMORY_SECONDS = 4;

  /**
   * Where few endpoints are past their slow start, the others may be sent this many times what they
   * were sent in the last seconds.
   */
  private static final double MAX_GROWTH = 4;

  private final EventClock clock;
  private final SplittableRandom random;
  private final int nodeCount;
  private double workPerSecond;
  private double workPerEndpointPerSecond;
  private long sentAtNanos;
  private double effectiveEndpoints = 1;
  private double warmEndpoints;

  SlowStartLimiter(EventClock clock, SplittableRandom random, int nodeCount) {
    this.clock = clock;
    this.random = random;
    this.nodeCount = nodeCount;
  }

  /**
   * The usable endpoints or their slow start changed.
   *
   * @param effective the usable endpoints, each in slow start counted by its fraction
   * @param warm how many usable endpoints are past their slow start
   */
  void capacityChanged(double effective, double warm) {
    effectiveEndpoints = effective;
    warmEndpoints = warm;
  }

  /** The work sent to all endpoints lately, in seconds of service a second, as of the last one. */
  double workPerSecond() {
    return workPerSecond;
  }

  /** Counts an attempt by its expected service time. */
  void attemptSent(double expectedServiceSeconds) {
    double kept = Math.exp(-clock.secondsSince(sentAtNanos) / WORK_MEMORY_SECONDS);
    double work = expectedServiceSeconds / WORK_MEMORY_SECONDS;
    workPerSecond = workPerSecond * kept + work;
    workPerEndpointPerSecond = workPerEndpointPerSecond * kept + work / effectiveEndpoints;
    sentAtNanos = clock.nowNanos();
  }

  /** Decides whether an endpoint in slow start may be sent a request now. */
  boolean tryAcquire(EndpointTracker endpoint, double expectedServiceSeconds) {
    double granted = endpoint.slowStart().grantWork(fullWorkPerSecond());
    return random.nextDouble() * expectedServiceSeconds < granted;
  }

  /**
   * What an endpoint past its slow start is sent from here, in seconds of service a second: one
   * core's part at least. Where few are past it, those in slow start tell it, until the concurrency
   * limit binds.
   */
  private double fullWorkPerSecond() {
    double divisor = Math.max(warmEndpoints, effectiveEndpoints / MAX_GROWTH);
    double measured = workPerEndpointPerSecond * effectiveEndpoints / divisor;
    return Math.max(1.0 / nodeCount, measured);
  }
}

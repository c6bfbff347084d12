package edgegateway.policy.routing;

import edgegateway.policy.time.EventClock;
import java.util.SplittableRandom;

/**
 * Limits the work that this node sends to endpoints in slow start: each gets its capacity fraction
 * of what a warmed-up endpoint, one past its slow start, gets from this node. Requests are admitted
 * at random at that rate, so that the requests of many nodes do not arrive as a burst.
 *
 * <p>Work is measured in seconds of expected service time.
 */
final class SlowStartLimiter {
  /** Time constant of the moving averages of the work sent. */
  private static final double WORK_TIME_CONSTANT_SECONDS = 4;

  /**
   * While few endpoints are warmed up, an endpoint may be sent at most this many times the work per
   * endpoint of the last seconds.
   */
  private static final double MAX_GROWTH = 4;

  private final EventClock clock;
  private final SplittableRandom random;
  private final int nodeCount;
  private double workPerSecond;
  private double workPerEndpointPerSecond;
  private long lastSentAtNanos;
  private double effectiveEndpoints = 1;
  private double warmedUpEndpoints;

  SlowStartLimiter(EventClock clock, SplittableRandom random, int nodeCount) {
    this.clock = clock;
    this.random = random;
    this.nodeCount = nodeCount;
  }

  /**
   * Updates the capacity of the usable endpoints.
   *
   * @param effectiveEndpoints number of usable endpoints, each in slow start counted by its
   *     capacity fraction
   * @param warmedUpEndpoints how many usable endpoints are past their slow start
   */
  void capacityChanged(double effectiveEndpoints, double warmedUpEndpoints) {
    this.effectiveEndpoints = effectiveEndpoints;
    this.warmedUpEndpoints = warmedUpEndpoints;
  }

  /**
   * Moving average of the work sent to all endpoints, in seconds of expected service time per
   * second. It is as of the last attempt: it does not decay while none is sent.
   */
  double workPerSecond() {
    return workPerSecond;
  }

  /** Adds the expected service time of an attempt that is sent now to the averages. */
  void attemptSent(double expectedServiceSeconds) {
    double decayFactor =
        Math.exp(-clock.secondsSince(lastSentAtNanos) / WORK_TIME_CONSTANT_SECONDS);
    double work = expectedServiceSeconds / WORK_TIME_CONSTANT_SECONDS;
    workPerSecond = workPerSecond * decayFactor + work;
    workPerEndpointPerSecond = workPerEndpointPerSecond * decayFactor + work / effectiveEndpoints;
    lastSentAtNanos = clock.nowNanos();
  }

  /**
   * Decides at random whether an endpoint in slow start may be sent a request now. Each call uses
   * up the work that the endpoint was granted since the previous one.
   */
  boolean tryAcquire(EndpointTracker endpoint, double expectedServiceSeconds) {
    double grantedWork = endpoint.slowStart().grantWork(fullWorkPerSecond());
    return random.nextDouble() * expectedServiceSeconds < grantedWork;
  }

  /**
   * The work that this node sends to a warmed-up endpoint, in seconds of expected service time per
   * second; at least this node's share of one core. While few endpoints are warmed up, it is
   * estimated from the work sent to all, those in slow start included: it can grow until the
   * concurrency limit takes effect.
   */
  private double fullWorkPerSecond() {
    double divisor = Math.max(warmedUpEndpoints, effectiveEndpoints / MAX_GROWTH);
    double measured = workPerEndpointPerSecond * effectiveEndpoints / divisor;
    return Math.max(1.0 / nodeCount, measured);
  }
}

package edgegateway.policy.routing;

import edgegateway.policy.api.AttemptResult;
import edgegateway.policy.api.Endpoint;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.PolicyActions;
import edgegateway.policy.time.Durations;
import edgegateway.policy.time.EventClock;

/**
 * What the attempts at one endpoint tell of it: averages of latency and errors that decay towards
 * those of its peers, and from them the ejection of outliers. An ejected endpoint is not barred: by
 * its errors its score is so high that it is chosen only where all others are as bad, or once its
 * errors have decayed.
 */
final class EndpointStatistics {
  /** An endpoint with a higher rate of errors than this is ejected. */
  static final double EJECTION_ERROR_RATE = 0.5;

  /** What is known of one endpoint decays towards the averages of its peers with this time. */
  static final double DECAY_SECONDS = 4;

  private static final double LATENCY_WEIGHT = 0.12;
  private static final double SUCCESS_WEIGHT = 0.2;
  private static final double FAILURE_WEIGHT = 2 * SUCCESS_WEIGHT;
  private static final double CONNECT_FAILURE_WEIGHT = 1;
  private static final double REJECTION_ERROR = 0.5;
  private static final double MAX_LATENCY_RATIO = 20;

  /** A fast failure must not look fast. */
  private static final double MIN_FAILURE_LATENCY_RATIO = 3;

  private final EventClock clock;
  private final PeerAverages peers;
  private final PolicyActions actions;
  private double latencyRatio;
  private double errorRate;
  private long lastResultNanos;

  /** Whether the last log line said that the endpoint is ejected as an outlier. */
  private boolean ejected;

  private boolean lastFailed;
  private boolean lastUnanswered;

  EndpointStatistics(
      EventClock clock, PeerAverages peers, PolicyActions actions, Endpoint endpoint) {
    this.clock = clock;
    this.peers = peers;
    this.actions = actions;
    latencyRatio = peers.latencyRatio(endpoint.machineType());
    errorRate = peers.errorRate(endpoint.zone());
    lastResultNanos = clock.nowNanos();
  }

  /** When the last attempt ended; at first when the endpoint became known, in nanoseconds. */
  long lastResultNanos() {
    return lastResultNanos;
  }

  /** Whether the last attempt failed; a rejection is no failure. */
  boolean lastFailed() {
    return lastFailed;
  }

  /** Whether the last attempt failed without any answer. */
  boolean lastUnanswered() {
    return lastUnanswered;
  }

  /** Whether the rate of errors to expect now is that of an endpoint to be ejected. */
  boolean isOutlier(Endpoint endpoint) {
    // What is expected lies between the two: it need seldom be worked out.
    double highest = Math.max(errorRate, peers.errorRate(endpoint.zone()));
    return highest > EJECTION_ERROR_RATE && expectedErrorRate(endpoint) > EJECTION_ERROR_RATE;
  }

  /** The rate of errors to expect now, 0 to 1. */
  double expectedErrorRate(Endpoint endpoint) {
    return decayed(errorRate, peers.errorRate(endpoint.zone()));
  }

  /** The latency to expect now, as a multiple of the expected service time. */
  double expectedLatencyRatio(Endpoint endpoint) {
    return decayed(latencyRatio, peers.latencyRatio(endpoint.machineType()));
  }

  private double decayed(double own, double peerAverage) {
    double kept = Math.exp(-clock.secondsSince(lastResultNanos) / DECAY_SECONDS);
    return peerAverage + (own - peerAverage) * kept;
  }

  /**
   * Counts the end of an attempt that was sent and not cancelled.
   *
   * @param expectedServiceSeconds the service time that was to be expected
   * @param endpoints how many endpoints may be chosen now
   */
  void attemptEnded(
      Endpoint endpoint, AttemptResult result, double expectedServiceSeconds, int endpoints) {
    Outcome outcome = result.outcome();
    boolean succeeded = outcome == Outcome.OK;
    lastFailed = !succeeded && outcome != Outcome.REJECTED;
    lastUnanswered = lastFailed && outcome != Outcome.ERROR;
    double error = error(outcome);
    double ratio = latencyRatio(result, expectedServiceSeconds);
    double peerWeight = 2 * LATENCY_WEIGHT / Math.max(1, endpoints);
    peers.addLatencyRatio(endpoint.machineType(), ratio, peerWeight);
    peers.addError(endpoint.zone(), error, peerWeight);
    latencyRatio = expectedLatencyRatio(endpoint);
    errorRate = expectedErrorRate(endpoint);
    lastResultNanos = clock.nowNanos();
    latencyRatio += LATENCY_WEIGHT * (ratio - latencyRatio);
    errorRate += errorWeight(outcome) * (error - errorRate);
    updateEjection(endpoint, outcome);
  }

  private static double latencyRatio(AttemptResult result, double expectedServiceSeconds) {
    double seconds = result.durationNanos() * Durations.SECONDS_PER_NANO;
    double ratio = Math.min(MAX_LATENCY_RATIO, seconds / expectedServiceSeconds);
    return result.outcome() == Outcome.OK ? ratio : Math.max(MIN_FAILURE_LATENCY_RATIO, ratio);
  }

  private static double error(Outcome outcome) {
    return switch (outcome) {
      case OK -> 0;
      case REJECTED -> REJECTION_ERROR;
      default -> 1;
    };
  }

  private static double errorWeight(Outcome outcome) {
    return switch (outcome) {
      case OK -> SUCCESS_WEIGHT;
      case CONNECT_FAILED -> CONNECT_FAILURE_WEIGHT;
      default -> FAILURE_WEIGHT;
    };
  }

  /**
   * Logs when the endpoint becomes an outlier and when it no longer is. An outlier is not barred:
   * its error rate makes its score so bad that it is chosen only where nothing better is left.
   */
  private void updateEjection(Endpoint endpoint, Outcome cause) {
    boolean outlier = errorRate > EJECTION_ERROR_RATE;
    if (outlier == ejected) {
      return;
    }
    ejected = outlier;
    String event = ejected ? "endpoint_ejected" : "endpoint_readmitted";
    actions.log(event + " id=" + endpoint.id() + " cause=" + cause);
  }
}

package edgegateway.policy.routing;

import edgegateway.policy.api.AttemptResult;
import edgegateway.policy.api.Endpoint;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.PolicyActions;
import edgegateway.policy.time.Durations;
import edgegateway.policy.time.EventClock;

/**
 * Moving averages of the latency and errors of attempts at one endpoint, and outlier ejection based
 * on them. Between attempts the averages decay towards those of the endpoint's peers. An ejected
 * endpoint is not blocked: its error rate raises its score so far that it is chosen only if all
 * others are as bad, or once its error rate has decayed.
 */
final class EndpointStatistics {
  /** An endpoint with a higher error rate than this is ejected as an outlier. */
  static final double EJECTION_ERROR_RATE = 0.5;

  /** Time constant of the exponential decay of the averages towards those of the peers. */
  static final double DECAY_TIME_CONSTANT_SECONDS = 4;

  // Weights of one attempt in the moving averages, 0 to 1.
  private static final double LATENCY_WEIGHT = 0.12;
  private static final double SUCCESS_WEIGHT = 0.2;
  private static final double FAILURE_WEIGHT = 2 * SUCCESS_WEIGHT;
  private static final double CONNECT_FAILURE_WEIGHT = 1;

  /** A rejection counts as this part of an error. */
  private static final double REJECTION_ERROR = 0.5;

  private static final double MAX_LATENCY_RATIO = 20;

  /** Failures count as at least this slow: an endpoint that fails fast must not look fast. */
  private static final double MIN_FAILURE_LATENCY_RATIO = 3;

  private final EventClock clock;
  private final PeerAverages peers;
  private final PolicyActions actions;
  private double latencyRatio;
  private double errorRate;
  private long lastResultNanos;

  /** Whether the last log line about the endpoint says that it was ejected. */
  private boolean loggedAsEjected;

  private boolean lastAttemptFailed;
  private boolean lastAttemptUnanswered;

  EndpointStatistics(
      EventClock clock, PeerAverages peers, PolicyActions actions, Endpoint endpoint) {
    this.clock = clock;
    this.peers = peers;
    this.actions = actions;
    latencyRatio = peers.latencyRatio(endpoint.machineType());
    errorRate = peers.errorRate(endpoint.zone());
    lastResultNanos = clock.nowNanos();
  }

  /** When the last attempt ended; before the first, when tracking began. In nanoseconds. */
  long lastResultNanos() {
    return lastResultNanos;
  }

  /** Whether the last attempt failed; a rejection does not count as a failure. */
  boolean lastAttemptFailed() {
    return lastAttemptFailed;
  }

  /** Whether the last attempt failed without any answer from the endpoint. */
  boolean lastAttemptUnanswered() {
    return lastAttemptUnanswered;
  }

  /** Whether the expected error rate is now above the ejection threshold. */
  boolean isOutlier(Endpoint endpoint) {
    // The expected rate lies between the endpoint's own and that of its peers. If both are below
    // the threshold, as they nearly always are, the exponential need not be computed.
    double upperBound = Math.max(errorRate, peers.errorRate(endpoint.zone()));
    return upperBound > EJECTION_ERROR_RATE && expectedErrorRate(endpoint) > EJECTION_ERROR_RATE;
  }

  /** The error rate to expect now, 0 to 1. */
  double expectedErrorRate(Endpoint endpoint) {
    return decayed(errorRate, peers.errorRate(endpoint.zone()));
  }

  /** The latency to expect now, as a multiple of the expected service time. */
  double expectedLatencyRatio(Endpoint endpoint) {
    return decayed(latencyRatio, peers.latencyRatio(endpoint.machineType()));
  }

  private double decayed(double own, double peerAverage) {
    double decayFactor =
        Math.exp(-clock.secondsSince(lastResultNanos) / DECAY_TIME_CONSTANT_SECONDS);
    return peerAverage + (own - peerAverage) * decayFactor;
  }

  /**
   * Counts the end of an attempt that was sent and not cancelled.
   *
   * @param expectedServiceSeconds the attempt's expected service time
   * @param routableEndpoints how many endpoints may be chosen now
   */
  void attemptEnded(
      Endpoint endpoint,
      AttemptResult result,
      double expectedServiceSeconds,
      int routableEndpoints) {
    Outcome outcome = result.outcome();
    boolean succeeded = outcome == Outcome.OK;
    lastAttemptFailed = !succeeded && outcome != Outcome.REJECTED;
    lastAttemptUnanswered = lastAttemptFailed && outcome != Outcome.ERROR;
    double error = errorFraction(outcome);
    double ratio = latencyRatio(result, expectedServiceSeconds);
    double peerWeight = 2 * LATENCY_WEIGHT / Math.max(1, routableEndpoints);
    peers.addLatencyRatio(endpoint.machineType(), ratio, peerWeight);
    peers.addError(endpoint.zone(), error, peerWeight);
    latencyRatio = expectedLatencyRatio(endpoint);
    errorRate = expectedErrorRate(endpoint);
    lastResultNanos = clock.nowNanos();
    latencyRatio += LATENCY_WEIGHT * (ratio - latencyRatio);
    errorRate += errorWeight(outcome) * (error - errorRate);
    logEjectionChange(endpoint, outcome);
  }

  private static double latencyRatio(AttemptResult result, double expectedServiceSeconds) {
    double seconds = result.durationNanos() * Durations.SECONDS_PER_NANO;
    double ratio = Math.min(MAX_LATENCY_RATIO, seconds / expectedServiceSeconds);
    return result.outcome() == Outcome.OK ? ratio : Math.max(MIN_FAILURE_LATENCY_RATIO, ratio);
  }

  private static double errorFraction(Outcome outcome) {
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

  /** Logs when an attempt makes the endpoint an outlier, and when one makes it normal again. */
  private void logEjectionChange(Endpoint endpoint, Outcome cause) {
    boolean outlier = errorRate > EJECTION_ERROR_RATE;
    if (outlier == loggedAsEjected) {
      return;
    }
    loggedAsEjected = outlier;
    String event = loggedAsEjected ? "endpoint_ejected" : "endpoint_readmitted";
    actions.log(event + " id=" + endpoint.id() + " cause=" + cause);
  }
}

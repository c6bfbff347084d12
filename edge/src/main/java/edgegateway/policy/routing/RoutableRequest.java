package edgegateway.policy.routing;

import edgegateway.policy.api.RequestClass;

/** What routing needs to know about a request. */
public interface RoutableRequest {
  /** The request's class. */
  RequestClass requestClass();

  /** How many attempts have been sent so far. */
  int attempts();

  /** Whether any attempt may have been executed. */
  boolean mayHaveExecuted();

  /** The endpoint of the first attempt that may have been executed; null if there is none. */
  EndpointTracker possibleExecutionEndpoint();

  /** When the current attempt was sent, or its long upload completed, in nanoseconds. */
  long sentAtNanos();

  /** The expected service time of an attempt, in seconds, above 0. */
  double expectedServiceSeconds();
}

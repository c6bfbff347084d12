package edgegateway.policy.routing;

import edgegateway.policy.api.RequestClass;

/** What routing has to know of a request. */
public interface RoutableRequest {
  /** The request's class. */
  RequestClass requestClass();

  /** How many attempts were sent so far. */
  int attempts();

  /** Whether an attempt may have been executed. */
  boolean mayHaveExecuted();

  /** The endpoint of the first attempt that may have been executed; null if there is none. */
  EndpointTracker possibleExecutionEndpoint();

  /** When the present attempt was sent, in nanoseconds. */
  long sentAtNanos();

  /** The service time to expect of an attempt, in seconds, above 0. */
  double expectedServiceSeconds();
}

/**
 * Choice of an endpoint for each attempt: the registry of endpoints, scores, outlier ejection, slow
 * start, and zones with their traffic ramps and health. {@link
 * edgegateway.policy.routing.EndpointRouter} is the entry point.
 */
package edgegateway.policy.routing;

/**
 * The endpoints and the choice among them: the endpoint registry, scores, outlier ejection, slow
 * start, and zones with their traffic ramps and evidence of health. {@link
 * edgegateway.policy.routing.EndpointRouter} is the entry.
 */
package edgegateway.policy.routing;

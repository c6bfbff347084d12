package edgegateway.policy.api;

import java.util.List;

/**
 * What a gateway that ends hands to the one that goes on in its place.
 *
 * @param callRate calls to the counter a second
 * @param service the usual span of each class, in seconds
 */
public record Handover(double callRate, List<Double> service, List<Use> uses) {}

package edgegateway.policy.routing;

/** The endpoints that answered last: a node that looks at few endpoints looks at these too. */
final class RecentResponders {
  private static final int SIZE = 6;

  private final EndpointTracker[] endpoints = new EndpointTracker[SIZE];
  private int added;

  void add(EndpointTracker endpoint) {
    endpoints[added % SIZE] = endpoint;
    added++;
  }

  /** A fixed number of places; those not yet filled are null, and one may be in several. */
  EndpointTracker[] places() {
    return endpoints;
  }
}

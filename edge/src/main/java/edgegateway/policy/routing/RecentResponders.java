package edgegateway.policy.routing;

/**
 * The endpoints of the most recent successful attempts and of the most recent health checks,
 * successful or not. A node that scores only a random few endpoints scores these as well.
 */
final class RecentResponders {
  private static final int CAPACITY = 6;

  private final EndpointTracker[] endpoints = new EndpointTracker[CAPACITY];
  private int addedCount;

  void add(EndpointTracker endpoint) {
    endpoints[addedCount % CAPACITY] = endpoint;
    addedCount++;
  }

  /** A fixed number of slots. Unfilled ones are null, and an endpoint may be in several. */
  EndpointTracker[] slots() {
    return endpoints;
  }
}

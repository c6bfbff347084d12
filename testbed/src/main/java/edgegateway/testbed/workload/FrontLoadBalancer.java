package edgegateway.testbed.workload;

import java.util.Arrays;

/**
 * Model of the load balancer in front of the edge nodes. It keeps sending to a node that died until
 * the detection delay has passed, and uses the node again once a health check has succeeded. Times
 * are nanoseconds of the caller's clock; not thread-safe.
 */
public final class FrontLoadBalancer {
  private static final long UP = Long.MAX_VALUE;

  private final long detectionNanos;

  /** Per node, when the first connection failed since the node was last healthy, or {@link #UP}. */
  private final long[] failedSinceNanos;

  /**
   * Starts with all nodes up.
   *
   * @param nodes number of edge nodes
   * @param detectionNanos time from the first failed connection to a node until the node is removed
   */
  public FrontLoadBalancer(int nodes, long detectionNanos) {
    this.detectionNanos = detectionNanos;
    failedSinceNanos = new long[nodes];
    Arrays.fill(failedSinceNanos, UP);
  }

  /** Records that a connection to the node was not established. */
  public void connectFailed(long nowNanos, int node) {
    failedSinceNanos[node] = Math.min(failedSinceNanos[node], nowNanos);
  }

  /** Records that a health check of the node succeeded. */
  public void markHealthy(int node) {
    failedSinceNanos[node] = UP;
  }

  /** Returns whether the node is out of rotation. */
  public boolean isRemoved(long nowNanos, int node) {
    return failedSinceNanos[node] != UP && nowNanos - failedSinceNanos[node] >= detectionNanos;
  }

  /** Returns whether a connection has failed and no health check has succeeded since. */
  public boolean needsHealthCheck(int node) {
    return failedSinceNanos[node] != UP;
  }

  /**
   * Picks the node for a request: the arrival's own node, or else the next node of the customer's
   * set that is not removed, wrapping around at the end of the set. If all nodes of the set are
   * removed, returns the arrival's own node.
   *
   * @param spread number of consecutive nodes in the customer's set
   */
  public int pick(long nowNanos, RequestArrival arrival, int spread) {
    for (int i = 0; i < spread; i++) {
      int offset =
          Math.floorMod(arrival.node() - arrival.first() + i, failedSinceNanos.length) % spread;
      int node = (arrival.first() + offset) % failedSinceNanos.length;
      if (!isRemoved(nowNanos, node)) {
        return node;
      }
    }
    return arrival.node();
  }
}

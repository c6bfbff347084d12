package edgegateway.testbed.workload;

import java.util.Arrays;

/**
 * The front that shares requests out among edge nodes: it goes on sending to a node that died until
 * it notices, and takes it in again once its health has said yes. Times are nanoseconds of the
 * caller's clock; not thread-safe.
 */
public final class FrontLoadBalancer {
  private static final long UP = Long.MAX_VALUE;

  private final long detectionNanos;

  /** Since when nobody could connect to a node. */
  private final long[] refusedSinceNanos;

  /** All of so many nodes are up; a dead one is noticed {@code notice} after its first refusal. */
  public FrontLoadBalancer(int nodes, long detectionNanos) {
    this.detectionNanos = detectionNanos;
    refusedSinceNanos = new long[nodes];
    Arrays.fill(refusedSinceNanos, UP);
  }

  /** A connection to the node did not come up. */
  public void connectRefused(long nowNanos, int node) {
    refusedSinceNanos[node] = Math.min(refusedSinceNanos[node], nowNanos);
  }

  /** The node's health said yes. */
  public void healthy(int node) {
    refusedSinceNanos[node] = UP;
  }

  /** Whether it is taken for dead. */
  public boolean removed(long nowNanos, int node) {
    return refusedSinceNanos[node] != UP && nowNanos - refusedSinceNanos[node] >= detectionNanos;
  }

  /** Whether its health is to be asked: a connection was refused, and no yes has come since. */
  public boolean needsHealthCheck(int node) {
    return refusedSinceNanos[node] != UP;
  }

  /**
   * The node for a request: the one drawn, or the next of its set that is not out; the drawn one if
   * all are.
   */
  public int pick(long nowNanos, RequestArrival arrival, int spread) {
    for (int i = 0; i < spread; i++) {
      int offset =
          Math.floorMod(arrival.node() - arrival.first() + i, refusedSinceNanos.length) % spread;
      int node = (arrival.first() + offset) % refusedSinceNanos.length;
      if (!removed(nowNanos, node)) {
        return node;
      }
    }
    return arrival.node();
  }
}

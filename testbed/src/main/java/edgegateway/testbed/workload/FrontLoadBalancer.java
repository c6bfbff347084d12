package edgegateway.testbed.workload;

import java.util.Arrays;

/**
 * The front that shares requests out among edge nodes: it goes on sending to a node that died until
 * it notices, and takes it in again once its health has said yes. Times are nanoseconds of the
 * caller's clock; not thread-safe.
 */
public final class FrontLoadBalancer {
  private static final long UP = Long.MAX_VALUE;

  private final long notice;

  /** Since when nobody could connect to a node. */
  private final long[] refusedSince;

  /** All of so many nodes are up; a dead one is noticed {@code notice} after its first refusal. */
  public FrontLoadBalancer(int nodes, long notice) {
    this.notice = notice;
    refusedSince = new long[nodes];
    Arrays.fill(refusedSince, UP);
  }

  /** A connection to the node did not come up. */
  public void refused(long now, int node) {
    refusedSince[node] = Math.min(refusedSince[node], now);
  }

  /** The node's health said yes. */
  public void healthy(int node) {
    refusedSince[node] = UP;
  }

  /** Whether it is taken for dead. */
  public boolean out(long now, int node) {
    return refusedSince[node] != UP && now - refusedSince[node] >= notice;
  }

  /** Whether its health is to be asked: a connection was refused, and no yes has come since. */
  public boolean doubted(int node) {
    return refusedSince[node] != UP;
  }

  /**
   * The node for a request: the one drawn, or the next of its set that is not out; the drawn one if
   * all are.
   */
  public int pick(long now, RequestArrival of, int spread) {
    for (int i = 0; i < spread; i++) {
      int offset = Math.floorMod(of.node() - of.first() + i, refusedSince.length) % spread;
      int node = (of.first() + offset) % refusedSince.length;
      if (!out(now, node)) {
        return node;
      }
    }
    return of.node();
  }
}

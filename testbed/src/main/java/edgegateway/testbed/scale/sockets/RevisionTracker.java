package edgegateway.testbed.scale.sockets;

import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * When each node went by a version of the list first, in nanoseconds of the machine's clock. Any
 * thread.
 */
final class RevisionTracker {
  private static final double SECOND = 1e9;

  private final Map<Integer, Map<Long, Long>> seen = new ConcurrentHashMap<>();

  /** A node was seen to go by this version. */
  void listed(int node, long revision, long at) {
    seen.computeIfAbsent(node, key -> new ConcurrentHashMap<>()).merge(revision, at, Math::min);
  }

  /**
   * When it was first seen to go by this version or a later one; {@link Long#MAX_VALUE} if it was
   * not.
   */
  private long at(int node, long revision) {
    return seen.getOrDefault(node, Map.of()).entrySet().stream()
        .filter(one -> one.getKey() >= revision)
        .mapToLong(Map.Entry::getValue)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /** Whether all of so many nodes go by it. */
  boolean everywhere(int nodes, long revision) {
    for (int node = 0; node < nodes; node++) {
      if (at(node, revision) == Long.MAX_VALUE) {
        return false;
      }
    }
    return true;
  }

  /** How long after a moment each of the nodes that go by it did, in seconds, sorted. */
  double[] spans(int nodes, long revision, long since) {
    double[] spans = new double[nodes];
    int count = 0;
    for (int node = 0; node < nodes; node++) {
      long at = at(node, revision);
      if (at != Long.MAX_VALUE) {
        spans[count++] = (at - since) / SECOND;
      }
    }
    double[] known = Arrays.copyOf(spans, count);
    Arrays.sort(known);
    return known;
  }
}

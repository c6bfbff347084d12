package edgegateway.testbed.scale;

import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * One play of one size.
 *
 * @param seed all that was drawn came from it
 * @param size how many there were, by the keys of the file's sizes: {@code nodes}, {@code servers},
 *     {@code tenants}, {@code requests-per-s}, {@code real} and so on; sockets too tell {@code
 *     nodes}, real and hollow ones together
 * @param figures what was measured, by name; the unit ends the name, as in {@code
 *     counter-calls-per-node-s}
 */
public record MeasuredPoint(
    Side side, long seed, SortedMap<String, Double> size, SortedMap<String, Double> figures) {
  /**
   * The keys of a size that are about how much there is; any other names something that happened,
   * its value 1.
   */
  static final Set<String> AMOUNTS =
      Set.of(
          "nodes",
          "servers",
          "services",
          "tenants",
          "requests-per-s",
          "real",
          "hollow",
          "fleet",
          "real-requests-per-s",
          "hollow-requests-per-s");

  /** On what it was played. */
  public enum Side {
    /** Virtual time. */
    MODEL,
    /** Loopback. */
    SOCKETS
  }

  /** Copies both maps. */
  public MeasuredPoint {
    size = new TreeMap<>(size);
    figures = new TreeMap<>(figures);
    for (Map.Entry<String, Double> one : figures.entrySet()) {
      if (!Double.isFinite(one.getValue())) {
        throw new IllegalArgumentException(one.getKey() + " is no number");
      }
    }
  }
}

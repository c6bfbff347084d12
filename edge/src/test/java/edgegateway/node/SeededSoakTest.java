package edgegateway.node;

import java.util.ArrayList;
import java.util.List;

/**
 * Base class of soak tests whose random choices derive from a seed; {@code -Dsoak.firstSeed} and
 * {@code -Dsoak.seeds} choose the runs.
 */
abstract class SeededSoakTest extends NodeTest {
  private static final int DEFAULT_SEEDS = 3;

  static List<Long> seeds() {
    long first = Long.getLong("soak.firstSeed", 1);
    List<Long> seeds = new ArrayList<>();
    for (int i = 0; i < Integer.getInteger("soak.seeds", DEFAULT_SEEDS); i++) {
      seeds.add(first + i);
    }
    return seeds;
  }
}

package edgegateway.testbed.cli;

import java.util.stream.LongStream;

/** The seeds {@code A..B}, both ends included, or one {@code A}. */
record SeedRange(long from, long to) {
  /** So many plays are some hours on one core. */
  private static final long MOST = 10_000;

  static SeedRange parse(String text) {
    String[] ends = text.split("\\.\\.", 2);
    SeedRange seeds = new SeedRange(Long.parseLong(ends[0]), Long.parseLong(ends[ends.length - 1]));
    if (seeds.to < seeds.from || seeds.to - seeds.from >= MOST) {
      throw new IllegalArgumentException(
          "'" + text + "' is not A..B with A <= B and at most " + MOST + " seeds");
    }
    return seeds;
  }

  LongStream all() {
    return LongStream.rangeClosed(from, to);
  }
}

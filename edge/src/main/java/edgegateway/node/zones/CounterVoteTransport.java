package edgegateway.node.zones;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Votes as amounts on the shared counter: a ballot is a name, a vote adds 1, the total is the
 * tally. A call is never repeated, so a vote counts once or not at all; a name that was flushed
 * begins at 0, so a tally can only be too low.
 */
final class CounterVoteTransport implements ZoneVoteTransport {
  /** What the counter offers. */
  interface Counter {
    /** Adds to a name and tells the total later. */
    void count(long name, double amount, long lifetime);
  }

  /** Names of ballots are negative, those of the module's customers are not. */
  private static final long MARK = Long.MIN_VALUE;

  private final Counter counter;
  private final long[] zones;
  private final long lifetime;
  private final Map<Long, ArrayDeque<ZoneVote>> asked = new HashMap<>();

  /**
   * {@code zones} are the settings' names; names live for two windows, the present one and the
   * nodes' clocks' difference.
   */
  CounterVoteTransport(Counter counter, List<String> zones, long window) {
    this.counter = counter;
    this.zones = zones.stream().mapToLong(CounterVoteTransport::hash).toArray();
    lifetime = 2 * window;
  }

  /** Whether a name of the counter is a ballot's. */
  static boolean owns(long name) {
    return name < 0;
  }

  private static long hash(String name) {
    long hash = 1;
    for (byte one : name.getBytes(StandardCharsets.UTF_8)) {
      hash = 31 * hash + one;
    }
    return mix(hash);
  }

  private static long mix(long z) {
    return new SplittableRandom(z).nextLong();
  }

  long name(ZoneVote ballot) {
    return MARK | mix(mix(zones[ballot.zone()] + ballot.question().ordinal()) + ballot.window());
  }

  @Override
  public void cast(long now, ZoneVote ballot, boolean mine) {
    long name = name(ballot);
    asked.computeIfAbsent(name, any -> new ArrayDeque<>()).add(ballot);
    counter.count(name, mine ? 1 : 0, lifetime);
  }

  /** The ballot of the oldest call of a name that has ended; null if there is none. */
  ZoneVote ended(long name) {
    ArrayDeque<ZoneVote> of = asked.get(name);
    ZoneVote ballot = of == null ? null : of.poll();
    if (of != null && of.isEmpty()) {
      asked.remove(name);
    }
    return ballot;
  }
}

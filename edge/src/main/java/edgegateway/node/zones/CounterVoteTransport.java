package edgegateway.node.zones;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Counts votes with the shared quota counter. Each subject of a vote has a key of its own; a vote
 * adds 1 to the key, and the total of the key is the number of votes. Calls are not retried, so a
 * vote counts at most once. If the counter loses a key, its total starts at 0 again. Hence a total
 * may be too low but never too high.
 */
final class CounterVoteTransport implements ZoneVoteTransport {
  /** The operation of the shared counter that votes need. */
  interface Counter {
    /** Adds an amount to the total of a key. The new total arrives asynchronously. */
    void add(long key, double amount, long lifetimeNanos);
  }

  /** Sign bit: keys of votes are negative, keys of customers' quotas are not. */
  private static final long VOTE_KEY_BIT = Long.MIN_VALUE;

  private static final int HASH_MULTIPLIER = 31;

  /** One window for the vote itself and one for differences between the nodes' clocks. */
  private static final int KEY_LIFETIME_WINDOWS = 2;

  private final Counter counter;
  private final long[] zoneHashes;
  private final long keyLifetimeNanos;

  /** Votes of the calls in flight by counter key, oldest first. */
  private final Map<Long, ArrayDeque<ZoneVote>> pending = new HashMap<>();

  /**
   * Creates a transport for the given zones.
   *
   * @param zoneNames zone names by index. Keys are derived from the names, since a zone may have
   *     different indices at different nodes
   * @param windowNanos length of a voting window in nanoseconds
   */
  CounterVoteTransport(Counter counter, List<String> zoneNames, long windowNanos) {
    this.counter = counter;
    zoneHashes = zoneNames.stream().mapToLong(CounterVoteTransport::hash).toArray();
    keyLifetimeNanos = KEY_LIFETIME_WINDOWS * windowNanos;
  }

  /** Whether a counter key belongs to a vote. */
  static boolean ownsKey(long key) {
    return key < 0;
  }

  private static long hash(String text) {
    long hash = 1;
    for (byte value : text.getBytes(StandardCharsets.UTF_8)) {
      hash = HASH_MULTIPLIER * hash + value;
    }
    return mix(hash);
  }

  /** Maps values that are close together to values spread over the range of long. */
  private static long mix(long value) {
    return new SplittableRandom(value).nextLong();
  }

  /** Returns the counter key of a vote. It must be the same at all nodes and in all versions. */
  long key(ZoneVote vote) {
    long question = mix(zoneHashes[vote.zone()] + vote.question().ordinal());
    return VOTE_KEY_BIT | mix(question + vote.window());
  }

  @Override
  public void requestVoteCount(long nowNanos, ZoneVote vote, boolean castsVote) {
    long key = key(vote);
    pending.computeIfAbsent(key, ignored -> new ArrayDeque<>()).add(vote);
    counter.add(key, castsVote ? 1 : 0, keyLifetimeNanos);
  }

  /**
   * Removes the oldest call in flight for a key; to be called when a call has ended.
   *
   * @return the vote of that call; null if none was in flight
   */
  ZoneVote callEnded(long key) {
    ArrayDeque<ZoneVote> calls = pending.get(key);
    ZoneVote vote = calls == null ? null : calls.poll();
    if (calls != null && calls.isEmpty()) {
      pending.remove(key);
    }
    return vote;
  }
}

package edgegateway.node.zones;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Votes as amounts on the shared quota counter: the subject of a vote is a key, a vote adds 1 and
 * the total is the number of votes. No call is repeated, so a vote counts once or not at all; a key
 * that the counter lost begins at 0 again, so a total can only be too low.
 */
final class CounterVoteTransport implements ZoneVoteTransport {
  /** The counter, as far as it is used here. */
  interface Counter {
    /** Adds an amount to the number of that key; the total comes later. */
    void add(long key, double amount, long lifetimeNanos);
  }

  /** Keys of votes are negative; those of customers' quotas are not. */
  private static final long VOTE_KEY_BIT = Long.MIN_VALUE;

  private static final int HASH_MULTIPLIER = 31;

  /** A key lives for the present window and the difference of the nodes' clocks. */
  private static final int LIFETIME_WINDOWS = 2;

  private final Counter counter;
  private final long[] zoneHashes;
  private final long lifetimeNanos;

  /** Subjects of the calls in flight by key, oldest first. */
  private final Map<Long, ArrayDeque<ZoneVote>> pending = new HashMap<>();

  /**
   * A transport for the given zones.
   *
   * @param zoneNames names by index; nodes may give a zone different indices
   * @param windowNanos length of a voting window
   */
  CounterVoteTransport(Counter counter, List<String> zoneNames, long windowNanos) {
    this.counter = counter;
    zoneHashes = zoneNames.stream().mapToLong(CounterVoteTransport::hash).toArray();
    lifetimeNanos = LIFETIME_WINDOWS * windowNanos;
  }

  /** Whether a key of the counter is that of a vote. */
  static boolean ownsKey(long key) {
    return key < 0;
  }

  private static long hash(String text) {
    long hash = 1;
    for (byte one : text.getBytes(StandardCharsets.UTF_8)) {
      hash = HASH_MULTIPLIER * hash + one;
    }
    return mix(hash);
  }

  /** Spreads values that lie close together over all long values. */
  private static long mix(long value) {
    return new SplittableRandom(value).nextLong();
  }

  /** Key of a vote's subject: the same at all nodes and in all versions. */
  long key(ZoneVote vote) {
    long question = mix(zoneHashes[vote.zone()] + vote.question().ordinal());
    return VOTE_KEY_BIT | mix(question + vote.window());
  }

  @Override
  public void cast(long nowNanos, ZoneVote vote, boolean castsVote) {
    long key = key(vote);
    pending.computeIfAbsent(key, any -> new ArrayDeque<>()).add(vote);
    counter.add(key, castsVote ? 1 : 0, lifetimeNanos);
  }

  /** Removes the oldest call of a key, which has ended; null if there is none. */
  ZoneVote callEnded(long key) {
    ArrayDeque<ZoneVote> calls = pending.get(key);
    ZoneVote vote = calls == null ? null : calls.poll();
    if (calls != null && calls.isEmpty()) {
      pending.remove(key);
    }
    return vote;
  }
}

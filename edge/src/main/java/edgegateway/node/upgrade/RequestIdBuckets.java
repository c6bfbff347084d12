package edgegateway.node.upgrade;

import java.util.concurrent.TimeUnit;

/**
 * The layout of a fixed table of request ids: which bucket an id belongs to, and which entry of a
 * bucket holds it. An entry is two numbers, the id's hash and the time at which its first attempt
 * began, on the system's monotonic clock, which all processes of a machine share. Holds no state.
 */
final class RequestIdBuckets {
  static final int BUCKETS = 1_024;
  static final int ENTRIES_PER_BUCKET = 4;
  static final int LONGS_PER_BUCKET = 2 * ENTRIES_PER_BUCKET;
  static final int LONGS = BUCKETS * LONGS_PER_BUCKET;

  /** Longer than a client waits and archive servers recognize an idempotency key. */
  private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(30);

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private RequestIdBuckets() {}

  /** The hash of an id; never 0, which marks an empty entry. */
  static long hash(String id) {
    long hash = FNV_OFFSET;
    for (int i = 0; i < id.length(); i++) {
      hash = (hash ^ id.charAt(i)) * FNV_PRIME;
    }
    hash ^= hash >>> 32;
    return hash == 0 ? 1 : hash;
  }

  /** The index of the first number of the bucket for a hash. */
  static int bucketOf(long hash) {
    return (int) Long.remainderUnsigned(hash, BUCKETS) * LONGS_PER_BUCKET;
  }

  /**
   * Finds a hash that was entered within the retention time.
   *
   * @param table numbers of which the bucket begins at {@code bucket}
   * @return the index of its entry; -1 if it is not there
   */
  static int find(long[] table, int bucket, long hash, long nowNanos) {
    for (int i = bucket; i < bucket + LONGS_PER_BUCKET; i += 2) {
      long ageNanos = nowNanos - table[i + 1];
      if (table[i] == hash && ageNanos >= 0 && ageNanos < RETENTION_NANOS) {
        return i;
      }
    }
    return -1;
  }

  /** The index of an empty entry of a bucket, or else of the oldest one. */
  static int oldest(long[] table, int bucket, long nowNanos) {
    int oldest = bucket;
    for (int i = bucket; i < bucket + LONGS_PER_BUCKET; i += 2) {
      if (table[i] == 0) {
        return i;
      }
      if (nowNanos - table[i + 1] > nowNanos - table[oldest + 1]) {
        oldest = i;
      }
    }
    return oldest;
  }
}

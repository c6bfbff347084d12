package edgegateway.node.upgrade;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.logging.EventLog;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The ids of requests that an archive server may have executed in the last 30 s, in this process
 * and in the other one of an upgrade. A request whose id is found here is not sent again: its
 * client has left or was cut off, and sends it once more.
 *
 * <p>Each process keeps its ids in memory and writes them through to a file of its own, which the
 * other one reads. Both versions of an upgrade use the files, so their names and the layout ({@link
 * RequestIdBuckets}, big-endian) must not change. Without a folder, or while the file fails, only
 * this process's ids are known; a failure is logged once. A torn entry matches no id. Used on the
 * event loop's thread only.
 */
public final class RecentRequestIds {
  private static final EventLog LOG = EventLog.console();

  private static final String FILE_NAME_PREFIX = "requests.";

  private final long[] own = new long[RequestIdBuckets.LONGS];
  private final Path otherFile;
  private final ByteBuffer entryBytes = ByteBuffer.allocate(2 * Long.BYTES);
  private final ByteBuffer bucketBytes =
      ByteBuffer.allocate(RequestIdBuckets.LONGS_PER_BUCKET * Long.BYTES);

  /** Null if this process's ids cannot be written. */
  private FileChannel ownChannel;

  /** Null until there is a file of the other process. */
  private FileChannel otherChannel;

  private boolean failureLogged;

  /**
   * Creates an empty table and clears the file of an earlier process in this slot.
   *
   * @param folder the folder that both processes share; null if there is none
   * @param slots tells the slot of this process
   */
  public RecentRequestIds(Path folder, ProcessSlots slots) {
    boolean shared = folder != null && slots.hasSlot();
    otherFile = shared ? folder.resolve(FILE_NAME_PREFIX + slots.otherSlot()) : null;
    if (shared) {
      try {
        ownChannel =
            FileChannel.open(
                folder.resolve(FILE_NAME_PREFIX + slots.slot()),
                StandardOpenOption.CREATE,
                StandardOpenOption.WRITE);
        // Written in full now, so that the file never has to grow later.
        writeFully(ownChannel, ByteBuffer.allocate(own.length * Long.BYTES), 0);
      } catch (IOException e) {
        ownChannel = null;
        logFailure(e);
      }
    }
    openOtherFile();
  }

  /** Opens the other process's file if it has come to exist; called about every 0.2 s. */
  public void openOtherFile() {
    if (otherFile == null || otherChannel != null || !Files.exists(otherFile)) {
      return;
    }
    try {
      otherChannel = FileChannel.open(otherFile, StandardOpenOption.READ);
    } catch (IOException e) {
      logFailure(e);
    }
  }

  /** Whether an attempt of this id has begun and was not {@link #remove}d, in either process. */
  public boolean contains(String id) {
    long hash = RequestIdBuckets.hash(id);
    int bucket = RequestIdBuckets.bucketOf(hash);
    long nowNanos = System.nanoTime();
    return RequestIdBuckets.find(own, bucket, hash, nowNanos) >= 0
        || otherChannel != null && otherContains(bucket, hash, nowNanos);
  }

  private boolean otherContains(int bucket, long hash, long nowNanos) {
    long[] numbers = new long[RequestIdBuckets.LONGS_PER_BUCKET];
    try {
      bucketBytes.clear();
      long position = (long) bucket * Long.BYTES;
      while (bucketBytes.hasRemaining()) {
        if (otherChannel.read(bucketBytes, position + bucketBytes.position()) < 0) {
          return false;
        }
      }
    } catch (IOException e) {
      logFailure(e);
      return false;
    }
    bucketBytes.flip().asLongBuffer().get(numbers);
    return RequestIdBuckets.find(numbers, 0, hash, nowNanos) >= 0;
  }

  /** Enters the id of a request of which an attempt begins; must be called before it is sent. */
  public void add(String id) {
    long hash = RequestIdBuckets.hash(id);
    int bucket = RequestIdBuckets.bucketOf(hash);
    long nowNanos = System.nanoTime();
    int known = RequestIdBuckets.find(own, bucket, hash, nowNanos);
    set(known >= 0 ? known : RequestIdBuckets.oldest(own, bucket, nowNanos), hash, nowNanos);
  }

  /** Removes the id of a request that was not executed, or may be executed again. */
  public void remove(String id) {
    long hash = RequestIdBuckets.hash(id);
    int entry =
        RequestIdBuckets.find(own, RequestIdBuckets.bucketOf(hash), hash, System.nanoTime());
    if (entry >= 0) {
      set(entry, 0, 0);
    }
  }

  private void set(int entry, long hash, long nanos) {
    own[entry] = hash;
    own[entry + 1] = nanos;
    if (ownChannel == null) {
      return;
    }
    try {
      entryBytes.clear().putLong(hash).putLong(nanos).flip();
      writeFully(ownChannel, entryBytes, (long) entry * Long.BYTES);
    } catch (IOException e) {
      logFailure(e);
    }
  }

  private static void writeFully(FileChannel channel, ByteBuffer bytes, long position)
      throws IOException {
    while (bytes.hasRemaining()) {
      channel.write(bytes, position + bytes.position());
    }
  }

  private void logFailure(IOException e) {
    if (!failureLogged) {
      failureLogged = true;
      LOG.warn("request_ids_not_shared", field("error", e));
    }
  }
}

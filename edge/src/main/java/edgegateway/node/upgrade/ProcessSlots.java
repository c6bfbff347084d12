package edgegateway.node.upgrade;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.logging.EventLog;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * How the two processes of an upgrade know of each other: each locks a byte of a file while it
 * lives and another while it takes clients. A lock ends with its process, however that ends; the
 * file itself means nothing.
 */
public final class ProcessSlots {
  private static final EventLog LOG = EventLog.console();

  /** A look from the other process holds a byte for a moment. */
  private static final int TRIES = 1_000;

  private final FileChannel file;
  private final int mine;

  /** Kept so that the locks are. */
  private FileLock living;

  private FileLock taking;

  /** Takes a slot; {@code folder} is null where there is nothing to share. */
  public ProcessSlots(Path folder) {
    FileChannel opened = null;
    int slot = 0;
    try {
      if (folder != null) {
        opened =
            FileChannel.open(
                folder.resolve("slots"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        for (int tries = 0; living == null && tries < TRIES; tries++) {
          slot = tries % 2;
          living = lock(opened, slot);
        }
      }
    } catch (IOException e) {
      LOG.warn("upgrade_slot_unavailable", field("error", e));
    }
    file = opened;
    mine = slot;
  }

  /** Whether another process of this edge node lives. */
  public boolean otherLives() {
    return held(1 - mine);
  }

  /** Whether another process of this edge node takes clients. */
  public boolean otherTakes() {
    return held(3 - mine);
  }

  /** From now on this process takes clients, or no more. */
  public void take(boolean on) {
    try {
      if (on && taking == null && living != null) {
        for (int tries = 0; taking == null && tries < TRIES; tries++) {
          taking = lock(file, 2 + mine);
        }
      } else if (!on && taking != null) {
        taking.release();
        taking = null;
      }
    } catch (IOException e) {
      LOG.warn("upgrade_slot_failed", field("error", e));
    }
  }

  private boolean held(int at) {
    if (living == null) {
      return false;
    }
    try (FileLock free = lock(file, at)) {
      return free == null;
    } catch (IOException e) {
      LOG.warn("upgrade_slot_failed", field("error", e));
      return false;
    }
  }

  private static FileLock lock(FileChannel file, int at) throws IOException {
    try {
      return file.tryLock(at, 1, false);
    } catch (OverlappingFileLockException e) {
      // Two edge nodes in one process, as in tests.
      return null;
    }
  }
}
